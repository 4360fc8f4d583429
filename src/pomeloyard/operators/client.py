"""HTTP client of the operators' interface, usable without the command line."""

from __future__ import annotations

import json
from typing import Any

import httpcore

from ..errors import PomeloyardError


class OperatorCallError(PomeloyardError):
    """The daemon answered with a problem."""

    def __init__(self, status: int, problem: dict[str, Any]) -> None:
        super().__init__(f"{problem.get('type')}: {problem.get('detail')}")
        self.status = status
        self.problem = problem


class OperatorClient:
    """Calls the first reachable daemon of a list of "host:port" addresses."""

    def __init__(self, addresses: list[str], key: str) -> None:
        self._addresses = addresses
        self._key = key
        self._pool = httpcore.ConnectionPool()

    def call(self, method: str, path: str, body: object = None) -> Any:
        """Return the decoded answer; raises OperatorCallError."""
        last: Exception | None = None
        for address in self._addresses:
            try:
                response = self._pool.request(
                    method,
                    f"http://{address}{path}",
                    headers={"Authorization": f"Bearer {self._key}"},
                    content=json.dumps(body).encode() if body is not None else None,
                    extensions={"timeout": {"connect": 2.0, "read": 30.0}},
                )
            except httpcore.ConnectError as error:
                last = error
                continue
            answer = json.loads(response.content)
            if response.status >= 400:
                raise OperatorCallError(response.status, answer)
            return answer
        raise OperatorCallError(0, {"type": "unreachable", "detail": repr(last)})

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()
