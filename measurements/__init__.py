"""Measurements against the product's targets, one module for each subject.

Every module defines ``measure() -> Iterable[Figure]``.
"""
