"""Fleet capacity and maintenance manager for resellers of rented compute."""

__version__ = "0.1.0"
