"""Adapter to the operators' platform: its wire names, calls and settings file.

Nothing outside this package knows the platform's field names or paths.
"""
