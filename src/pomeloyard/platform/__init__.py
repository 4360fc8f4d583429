"""Adapter to the operators' platform: its wire names, calls and settings file.

The platform's field names and paths are used only within this package.
"""
