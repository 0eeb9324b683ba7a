"""Configuration files: parsing, validation and error reports."""
