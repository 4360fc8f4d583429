"""Peer network between daemons of one process, without sockets."""

from __future__ import annotations

from pomeloyard.peers.messages import Hello


class Network:
    """Delivers messages between daemons synchronously."""

    def __init__(self, name, networks):
        self.hello = Hello(name, name, "", "bulacan")
        self.handlers = {}
        self.networks = networks
        self.on_disconnect = []
        networks[name] = self

    def on(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, incarnation, message):
        peer = self.networks.get(incarnation)
        if peer is None:
            return False
        peer.handlers[type(message)](self.hello.incarnation, message)
        return True

    def broadcast(self, message):
        return sum(self.send(n, message) for n in self.networks if n != self.name())

    def connected(self):
        return sorted(n for n in self.networks if n != self.name())

    def name(self):
        return self.hello.incarnation
