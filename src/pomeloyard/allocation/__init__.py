"""Capacity allocation without a consensus round per request.

Partitions divide slots and limits among the daemons, loans move them, and admission
spends them.
"""
