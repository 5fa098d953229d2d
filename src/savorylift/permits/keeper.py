"""Decisions of one node as a keeper of one backend server."""

from savorylift.identity import NodeRef
from savorylift.permits.admission import Admission
from savorylift.permits.co_keepers import CoKeepers, Sender
from savorylift.permits.evidence import Evidence, LoadReport
from savorylift.permits.holder_watch import HolderWatch
from savorylift.permits.lot_messages import LotStatus
from savorylift.permits.messages import (
    Charge,
    ColdFall,
    Lot,
    PermitAsk,
    PermitReturn,
    PermitStarted,
    PermitTakeOver,
    ServerState,
)
from savorylift.permits.options import PermitOptions
from savorylift.permits.policies import SAFE, Policies
from savorylift.permits.share import OwnedLot, Share
from savorylift.permits.status import LotView, ServerStatus
from savorylift.permits.tally import Tally
from savorylift.permits.warmth import Warmth
from savorylift.rules.view import BackendServer

UNKNOWN_INCARNATION = "?"


class Keeper:
    """Grants permits within the owned share of one backend server.

    Attributes:
        share: Owned lots and permits out.
        warmth: Window in force.
        co_keepers: The other keepers of the same backend server.
        admission: Decisions on requests for permits.
        watch: Watch over the holders of permits.
    """

    def __init__(
        self,
        server: BackendServer,
        cfg: PermitOptions,
        sender: Sender,
        tally: Tally,
        policies: Policies = SAFE,
    ) -> None:
        """Starts with no lot, cold."""
        self.share = Share(server)
        self.warmth = Warmth(server.cold_limit, server.warm_limit)
        self.co_keepers = CoKeepers(sender)
        self.watch = HolderWatch(
            self.share, self.warmth, cfg, sender, tally, policies
        )
        self.admission = Admission(
            self.share,
            self.warmth,
            self.co_keepers,
            cfg.max_waiting,
            sender,
            tally,
        )
        self._load_lag_s = cfg.load_lag_s
        self._evidence = Evidence(
            self.share, self.warmth, self.co_keepers, cfg.slow_ratio, tally
        )

    @property
    def name(self) -> str:
        """Name of the backend server."""
        return self.share.server.name

    def follow_rules(self, server: BackendServer) -> None:
        """Follows an edit of the backend server's rule."""
        self.share.server = server
        self.warmth.set_limits(server.cold_limit, server.warm_limit)

    def ask(self, msg: PermitAsk) -> None:
        """Grants, forwards, queues or denies a request."""
        self.admission.ask(msg)

    def tick(self) -> None:
        """Refuses requests whose deadline has passed."""
        self.admission.expire()

    def start(self, msg: PermitStarted, holder: NodeRef) -> None:
        """Notes the first output under a permit."""
        permit = self.share.find(msg.permit_id)
        if permit is None or permit.holder != holder:
            return
        self._evidence.judge(
            msg.incarnation, msg.first_token_s, is_cold=msg.cold
        )
        self.warmth.note(msg.incarnation, is_cold=msg.cold)
        if self.warmth.is_past(msg.incarnation):
            self.share.remove(msg.permit_id)
        else:
            incarnation = msg.incarnation or UNKNOWN_INCARNATION
            self.share.put(permit._replace(started_on=incarnation))
        self.admission.serve()

    def adjust(self, permit_id: str, holder: NodeRef, tokens: int) -> None:
        """Replaces the memory reserved under a permit."""
        permit = self.share.find(permit_id)
        if permit is not None and permit.holder == holder:
            self.share.put(permit._replace(tokens=tokens))
            self.admission.serve()

    def end(self, msg: PermitReturn) -> None:
        """Ends a permit that its holder reports as finished or abandoned."""
        self.admission.queue.remove(msg.permit_id)
        permit = self.share.find(msg.permit_id)
        if permit is None or permit.holder != msg.holder:
            return
        if not msg.finished:
            self.watch.abandon(msg.permit_id)
            return
        self.share.remove(msg.permit_id)
        self.admission.rate.add()
        is_judged = bool(permit.started_on)
        first_token_s = -1.0 if is_judged else msg.first_token_s
        self._evidence.judge(
            msg.incarnation, first_token_s, is_cold=msg.overloaded
        )
        if msg.completed:
            places = self.share.places(self.warmth.window)
            self.warmth.complete(msg.incarnation, places)
        self.admission.serve()

    def forget(
        self, permit_id: str, holder: NodeRef, kept_lot: int = -1
    ) -> None:
        """Ends a permit that its holder uses under no lot but `kept_lot`."""
        self.admission.queue.remove(permit_id)
        permit = self.share.find(permit_id)
        if permit is not None and permit.holder == holder:
            self.share.remove(permit_id, kept_lot)
        self.admission.serve()

    def unknown(self, charges: tuple[Charge, ...], holder: NodeRef) -> None:
        """Ends permits that their holder doesn't use."""
        for charge in charges:
            self.share.remove_charge(charge, holder)
        self.admission.serve()

    def give_lot(self, lot: Lot, epoch: int) -> LotStatus:
        """Stops granting from a lot and returns its table."""
        owned = self.share.lots.pop(lot.number)
        self.admission.last_decision = f"released lot {lot.number} at {epoch}"
        return LotStatus(
            lot,
            epoch,
            was_owner=True,
            held=tuple(owned.held.values()),
            unaccounted=owned.unaccounted,
            incarnation=self.warmth.incarnation,
            falls=self.warmth.falls,
            window=self.warmth.window,
        )

    def take_lot(self, owned: OwnedLot, release: LotStatus | None) -> None:
        """Starts granting from a lot, telling the holders of its permits."""
        self.share.lots[owned.lot.number] = owned
        self.admission.last_decision = (
            f"acquired lot {owned.lot.number} at {owned.epoch}"
        )
        if release is not None:
            self._evidence.see(release.incarnation)
            self.warmth.merge(
                release.incarnation, release.falls, release.window
            )
        for permit in owned.held.values():
            self.admission.confirm(permit)
        self.admission.serve()
        self.admission.announce()

    def status(self, acquiring: tuple[int, ...]) -> ServerStatus:
        """Returns what operators are shown."""
        warmth, share = self.warmth, self.share
        lots = tuple(
            LotView(index, lot.epoch, len(lot.held), lot.unaccounted)
            for index, lot in sorted(share.lots.items())
        )
        return ServerStatus(
            self.name,
            warmth.incarnation,
            warmth.is_cold,
            warmth.window,
            warmth.cause,
            share.places(warmth.window),
            len(self.admission.queue),
            lots,
            acquiring,
            self.admission.last_decision,
        )

    def take_over(self, msg: PermitTakeOver, holder: NodeRef) -> None:
        """Confirms a permit to the node that resumes its stream."""
        permit = self.watch.take_over(msg, holder)
        if permit is not None:
            self.admission.confirm(permit)

    def cold_fall(self, msg: ColdFall) -> None:
        """Follows another keeper's fall to cold."""
        self._evidence.hear_fall(msg)
        self.admission.announce()  # others must know what is over its part

    def hear(self, other: NodeRef, state: ServerState) -> None:
        """Notes another keeper's state and forwards requests to its room."""
        if self.co_keepers.note(other, state):
            self._evidence.hear_state(state)
            self.admission.serve()

    def load(self, report: LoadReport) -> None:
        """Applies a load report; it can only restrict or end lost work."""
        incarnation = report.incarnation
        self._evidence.judge(incarnation, -1.0, is_cold=report.cold)
        self.warmth.note(incarnation, is_cold=report.cold)
        settled_s = report.asked_s - self._load_lag_s
        self._evidence.settle(report, settled_s)
        self.watch.load(report, settled_s)
        self.admission.serve()
