"""Playing a scenario on real sockets: real node processes among stand-ins for everything around them."""
