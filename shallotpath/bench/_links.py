"""Links between processes that an experiment can cut or silence."""

from __future__ import annotations

from collections.abc import Callable

from ..core import Message
from ..runtime import Transport, peer_identity


class Links:
    """Decide which frames pass between failure domains."""

    def __init__(self) -> None:
        self.cut_domains: set[str] = set()
        self.domain_by_identity: dict[str, str] = {}
        self.domain_by_address: dict[str, str] = {}
        self.dropped_ = 0

    def passes(self, source: str, target: str) -> bool:
        """Check whether a frame passes between two failure domains."""
        cut = source != target and bool(self.cut_domains & {source, target})
        self.dropped_ += cut
        return not cut

    def transport_for(self, domain: str) -> Callable[..., Transport]:
        """Return a factory of transports for processes of a failure domain."""

        def make(identity: str, *args, **kwargs) -> Transport:
            self.domain_by_identity[identity] = domain
            return FaultyTransport(self, domain, identity, *args, **kwargs)

        return make


class FaultyTransport(Transport):
    """Drop the frames of links that are cut, without an error to the sender."""

    __slots__ = ("domain", "links")

    def __init__(self, links: Links, domain: str, *args, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        self.links = links
        self.domain = domain

    async def start(self) -> None:
        """Bind the router and make its address known to the links."""
        await super().start()
        self.links.domain_by_address[self.address_] = self.domain

    def send(self, peer: str, message: Message) -> bool:
        """Queue a message, or drop it if the link is cut."""
        if not self.links.passes(self.domain, self._domain_of(peer)):
            return True
        return super().send(peer, message)

    def _domain_of(self, peer: str) -> str:
        if peer.startswith("@"):
            identity = peer_identity(peer).rpartition("/")[0]
            return self.links.domain_by_identity.get(identity, self.domain)
        return self.links.domain_by_address.get(peer, self.domain)
