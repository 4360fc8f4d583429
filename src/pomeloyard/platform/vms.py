"""Client for the platform's VM service."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from urllib.parse import quote

import msgspec

from ..batch.vms import PoolVm, VmAnswer, VmService, VmState
from ..errors import CallUnansweredError, StaleFenceError
from .codec import decode_json
from .http import HttpClient, always_permitted

CALL_TIMEOUT = timedelta(seconds=1.5)
MAX_PAGES = 50
"""Ends a listing whose pages always name a next one."""

_STATE_BY_NAME = {
    "up": VmState.UP,
    "moving": VmState.MOVING,
    "upkeep": VmState.IN_MAINTENANCE,
    "down": VmState.DOWN,
}
_ANSWER_BY_REASON = {"busy": VmAnswer.BUSY, "wave": VmAnswer.NOT_IN_WAVE}


class _Machine(msgspec.Struct):
    machine: str
    pool: str
    state: str
    id: str | None = None
    """Id of the current executor, not of the machine."""
    labels: list[str] = []
    zone: str = ""


class _MachinePage(msgspec.Struct):
    machines: list[_Machine]
    next_token: str | None = None


class _ConflictResponse(msgspec.Struct):
    reason: str = ""


class PlatformVms(VmService):
    """Client for the VM service at one address."""

    def __init__(
        self,
        client: HttpClient,
        address: str,
        permitted: Callable[[], bool] = always_permitted,
    ) -> None:
        self._client = client
        self._address = address
        self._permitted = permitted

    async def list(self) -> tuple[PoolVm, ...]:
        """Return all VMs."""
        found: list[PoolVm] = []
        target = "/machines"
        for _ in range(MAX_PAGES):
            response = await self._client.request(
                "GET", self._address, target, CALL_TIMEOUT
            )
            if response.status != 200:
                raise CallUnansweredError(f"{target}: status {response.status}")
            try:
                page = decode_json(response.body, _MachinePage)
            except msgspec.MsgspecError as error:
                raise CallUnansweredError(f"{target}: {error}") from error
            found.extend(_vm(machine) for machine in page.machines)
            if not page.next_token:
                break
            target = f"/machines?page_token={quote(page.next_token, safe='')}"
        return tuple(found)

    async def move(self, vm: str, pool: str, holder: str, fence: int) -> VmAnswer:
        """Move a VM to another pool; everything running on it ends immediately."""
        body = {"machine": vm, "pool": pool}
        return await self._send_operation("/machine-move", body, holder, fence)

    async def maintain(self, vm: str, wave: int, holder: str, fence: int) -> VmAnswer:
        """Start maintenance of a VM; everything running on it ends immediately."""
        body = {"machine": vm, "wave": wave}
        return await self._send_operation("/machine-upkeep", body, holder, fence)

    async def _send_operation(
        self, path: str, body: object, holder: str, fence: int
    ) -> VmAnswer:
        response = await self._client.request(
            "POST",
            self._address,
            path,
            CALL_TIMEOUT,
            msgspec.json.encode(body),
            {"X-Duty-Holder": holder, "X-Fencing-Token": str(fence)},
            self._permitted,
        )
        if response.status == 200:
            return VmAnswer.DONE
        if response.status in (429, 503):
            return VmAnswer.THROTTLED
        if response.status == 400:
            return VmAnswer.INVALID
        if response.status != 409:
            raise CallUnansweredError(f"{path}: status {response.status}")
        try:
            reason = decode_json(response.body, _ConflictResponse).reason
        except msgspec.MsgspecError as error:
            raise CallUnansweredError(f"{path}: {error}") from error
        if reason == "fence":
            raise StaleFenceError(f"{path}: a higher fencing token was used")
        return _ANSWER_BY_REASON.get(reason, VmAnswer.BUSY)


def _vm(machine: _Machine) -> PoolVm:
    state = _STATE_BY_NAME.get(machine.state, VmState.DOWN)
    rack = machine.labels[-1] if machine.labels else ""
    return PoolVm(
        machine.machine,
        machine.pool,
        state,
        machine.id or "",
        rack,
        machine.zone,
    )
