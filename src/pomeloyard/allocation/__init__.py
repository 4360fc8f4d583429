"""Slots and limits held without agreement: partitions, loans and admission."""
