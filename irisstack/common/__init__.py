"""What every room of the program shares; nothing here knows of messages."""
