"""Calls to the platform's service of VMs."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from urllib.parse import quote

import msgspec

from ..batch.vms import PoolVm, VmAnswer, VmService, VmState
from ..errors import CallUnansweredError, StaleFenceError
from .http import HttpCaller, always

CALL_TIMEOUT = timedelta(seconds=1.5)
MAX_PAGES = 50
"""Bound on one list, should its pages never end."""

_STATES = {
    "up": VmState.UP,
    "moving": VmState.MOVING,
    "upkeep": VmState.IN_UPKEEP,
    "down": VmState.DOWN,
}
_REASONS = {"busy": VmAnswer.BUSY, "wave": VmAnswer.NOT_OF_WAVE}


class _Machine(msgspec.Struct):
    machine: str
    pool: str
    state: str
    id: str | None = None
    """Id of the present executor, not of the machine."""
    labels: list[str] = []


class _Page(msgspec.Struct):
    machines: list[_Machine]
    next_token: str | None = None


class _Reason(msgspec.Struct):
    reason: str = ""


class PlatformVms(VmService):
    """Client of the VM service at one address."""

    def __init__(
        self,
        caller: HttpCaller,
        address: str,
        permitted: Callable[[], bool] = always,
    ) -> None:
        self._caller = caller
        self._address = address
        self._permitted = permitted

    async def list(self) -> tuple[PoolVm, ...]:
        """Return all VMs."""
        found: list[PoolVm] = []
        target = "/machines"
        for _ in range(MAX_PAGES):
            answer = await self._caller.call("GET", self._address, target, CALL_TIMEOUT)
            if answer.status != 200:
                raise CallUnansweredError(f"{target}: status {answer.status}")
            try:
                page = msgspec.json.decode(answer.body, type=_Page)
            except msgspec.MsgspecError as error:
                raise CallUnansweredError(f"{target}: {error}") from error
            found.extend(_vm(machine) for machine in page.machines)
            if not page.next_token:
                break
            target = f"/machines?page_token={quote(page.next_token, safe='')}"
        return tuple(found)

    async def move(self, vm: str, pool: str, holder: str, fence: int) -> VmAnswer:
        """Move a VM; all that runs on it ends at once."""
        body = {"machine": vm, "pool": pool}
        return await self._operate("/machine-move", body, holder, fence)

    async def maintain(self, vm: str, wave: int, holder: str, fence: int) -> VmAnswer:
        """Begin the maintenance of a VM; all that runs on it ends at once."""
        body = {"machine": vm, "wave": wave}
        return await self._operate("/machine-upkeep", body, holder, fence)

    async def _operate(
        self, path: str, body: object, holder: str, fence: int
    ) -> VmAnswer:
        answer = await self._caller.call(
            "POST",
            self._address,
            path,
            CALL_TIMEOUT,
            msgspec.json.encode(body),
            {"X-Duty-Holder": holder, "X-Fencing-Token": str(fence)},
            self._permitted,
        )
        if answer.status == 200:
            return VmAnswer.DONE
        if answer.status in (429, 503):
            return VmAnswer.THROTTLED
        if answer.status == 400:
            return VmAnswer.INVALID
        if answer.status != 409:
            raise CallUnansweredError(f"{path}: status {answer.status}")
        try:
            reason = msgspec.json.decode(answer.body, type=_Reason).reason
        except msgspec.MsgspecError as error:
            raise CallUnansweredError(f"{path}: {error}") from error
        if reason == "fence":
            raise StaleFenceError(f"{path}: a higher fence was used")
        return _REASONS.get(reason, VmAnswer.BUSY)


def _vm(machine: _Machine) -> PoolVm:
    state = _STATES.get(machine.state, VmState.DOWN)
    rack = machine.labels[-1] if machine.labels else ""
    return PoolVm(machine.machine, machine.pool, state, machine.id or "", rack)
