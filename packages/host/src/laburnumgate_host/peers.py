"""gRPC between the daemons: heartbeats for now."""

import logging

import grpclib
from grpclib import client as grpc_client
from grpclib import server as grpc_server
from laburnumgate_core import clock
from laburnumgate_core import membership
from laburnumgate_rpc import peer_grpc
from laburnumgate_rpc import peer_pb2

_LOGGER = logging.getLogger(__name__)


def to_message(member: membership.Member) -> peer_pb2.Member:
    """Encodes a member."""
    return peer_pb2.Member(
        host_id=member.host_id,
        zone=member.zone,
        rpc_ip=member.rpc_ip,
        rpc_port=member.rpc_port,
        incarnation=member.incarnation,
        heartbeat=member.heartbeat,
        state=member.state,
        config_offset=member.config_offset,
        jobs_offset=member.jobs_offset,
    )


def from_message(message: peer_pb2.Member) -> membership.Member:
    """Decodes a member."""
    return membership.Member(
        host_id=message.host_id,
        zone=message.zone,
        rpc_ip=message.rpc_ip,
        rpc_port=message.rpc_port,
        incarnation=message.incarnation,
        heartbeat=message.heartbeat,
        state=message.state,
        config_offset=message.config_offset,
        jobs_offset=message.jobs_offset,
    )


class PeerService(peer_grpc.PeerBase):
    """Answers the other hosts."""

    def __init__(
        self,
        members: membership.MemberTable,
        self_id: str,
        time: clock.Clock,
    ):
        self._members = members
        self._self_id = self_id
        self._clock = time

    async def Heartbeat(self, stream) -> None:  # noqa: N802
        """Takes the sender's view and answers with this host's."""
        request = await stream.recv_message()
        now_ms = self._clock.now_ms()
        self._members.update(from_message(request.sender), now_ms)
        for message in request.members:
            self._members.update(from_message(message), now_ms)
        reply = peer_pb2.HeartbeatReply(
            responder=to_message(self._members.get(self._self_id)),
            members=[to_message(m) for m in self._members.alive(now_ms)],
        )
        await stream.send_message(reply)

    async def ShareRecords(self, stream) -> None:  # noqa: N802
        """Refuses: sharing is not built yet."""
        raise grpclib.GRPCError(grpclib.const.Status.UNIMPLEMENTED)

    async def StopZone(self, stream) -> None:  # noqa: N802
        """Refuses: direct stops are not built yet."""
        raise grpclib.GRPCError(grpclib.const.Status.UNIMPLEMENTED)

    async def FetchState(self, stream) -> None:  # noqa: N802
        """Refuses: fetching state is not built yet."""
        raise grpclib.GRPCError(grpclib.const.Status.UNIMPLEMENTED)


class Peers:
    """Connections to the other hosts, one channel each."""

    def __init__(
        self,
        members: membership.MemberTable,
        self_id: str,
        time: clock.Clock,
    ):
        self._members = members
        self._self_id = self_id
        self._clock = time
        self._channels_by_address: dict[
            tuple[str, int], grpc_client.Channel
        ] = {}

    async def serve(self, ip: str, port: int) -> grpc_server.Server:
        """Starts the gRPC server."""
        service = PeerService(self._members, self._self_id, self._clock)
        server = grpc_server.Server([service])
        await server.start(ip, port)
        return server

    async def heartbeat(self, ip: str, port: int, timeout_ms: int) -> bool:
        """Exchanges views with one host; returns whether it answered."""
        now_ms = self._clock.now_ms()
        request = peer_pb2.HeartbeatRequest(
            sender=to_message(self._members.get(self._self_id)),
            members=[to_message(m) for m in self._members.alive(now_ms)],
        )
        stub = peer_grpc.PeerStub(self._channel(ip, port))
        try:
            reply = await stub.Heartbeat(request, timeout=timeout_ms / 1000)
        except (
            OSError,
            TimeoutError,
            grpclib.GRPCError,
            grpclib.exceptions.StreamTerminatedError,
        ):
            return False
        now_ms = self._clock.now_ms()
        self._members.update(from_message(reply.responder), now_ms)
        for message in reply.members:
            self._members.update(from_message(message), now_ms)
        return True

    def close(self) -> None:
        """Closes every connection."""
        for channel in self._channels_by_address.values():
            channel.close()

    def _channel(self, ip: str, port: int) -> grpc_client.Channel:
        address = (ip, port)
        channel = self._channels_by_address.get(address)
        if channel is None:
            channel = grpc_client.Channel(ip, port)
            self._channels_by_address[address] = channel
        return channel
