"""gRPC between hosts: message encoding, server and client channels."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
from typing import Protocol

import grpclib
from grpclib import client as grpc_client
from grpclib import server as grpc_server
from laburnumgate_core import membership
from laburnumgate_core import snapshot
from laburnumgate_core import stops
from laburnumgate_rpc import peer_grpc
from laburnumgate_rpc import peer_pb2

from laburnumgate_host import metrics
from laburnumgate_host import sockets

CALL_ERRORS = (
    OSError,
    TimeoutError,
    grpclib.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
)


class Handler(Protocol):
    """Handles calls from other hosts."""

    def on_heartbeat(
        self, request: peer_pb2.HeartbeatRequest
    ) -> peer_pb2.HeartbeatReply:
        """Merges the sender's view and returns this host's."""
        ...

    def on_records(
        self, request: peer_pb2.ShareRecordsRequest
    ) -> peer_pb2.ShareRecordsReply:
        """Stores provisional records of a peer."""
        ...

    def on_zone_stop(
        self, request: peer_pb2.StopZoneRequest
    ) -> peer_pb2.StopZoneReply:
        """Applies a direct stop of a zone's starts."""
        ...

    def on_fetch_state(
        self, request: peer_pb2.FetchStateRequest
    ) -> AsyncIterator[snapshot.Chunk]:
        """Yields the state of the tables that are ahead of the sender's."""
        ...


@dataclasses.dataclass(frozen=True)
class Address:
    """The gRPC address of a host."""

    host_id: str
    zone: str
    ip: str
    port: int


def encode_member(member: membership.Member) -> peer_pb2.Member:
    """Encodes a member as a protobuf message."""
    return peer_pb2.Member(**dataclasses.asdict(member))


def decode_member(message: peer_pb2.Member) -> membership.Member:
    """Decodes a member from a protobuf message."""
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


def encode_summary(summary: membership.ZoneSummary) -> peer_pb2.ZoneSummary:
    """Encodes a zone summary as a protobuf message."""
    return peer_pb2.ZoneSummary(**dataclasses.asdict(summary))


def decode_summary(message: peer_pb2.ZoneSummary) -> membership.ZoneSummary:
    """Decodes a zone summary from a protobuf message."""
    return membership.ZoneSummary(
        zone=message.zone,
        as_of_ms=message.as_of_ms,
        free_accelerators=message.free_accelerators,
        largest_free_rack=message.largest_free_rack,
        waiting_jobs=message.waiting_jobs,
        largest_free_endpoint=message.largest_free_endpoint,
        waiting_accelerators=message.waiting_accelerators,
        accelerators=message.accelerators,
        largest_unreserved=message.largest_unreserved,
        speed=message.speed,
    )


def encode_stop(stop: stops.ZoneStop) -> peer_pb2.ZoneStop:
    """Encodes a direct stop as a protobuf message."""
    return peer_pb2.ZoneStop(**dataclasses.asdict(stop))


def decode_stop(message: peer_pb2.ZoneStop) -> stops.ZoneStop:
    """Decodes a direct stop from a protobuf message."""
    return stops.ZoneStop(
        zone=message.zone,
        operation_id=message.operation_id,
        at_ms=message.at_ms,
        stopped=message.stopped,
    )


class PeerService(peer_grpc.PeerBase):
    """Dispatches calls from other hosts to a handler; counts their bytes."""

    def __init__(self, handler: Handler, host_metrics: metrics.Metrics):
        self._handler = handler
        self._metrics = host_metrics

    async def Heartbeat(self, stream) -> None:  # noqa: N802
        """Exchanges liveness, applied offsets and zone summaries."""
        await self._handle_unary(stream, self._handler.on_heartbeat)

    async def ShareRecords(self, stream) -> None:  # noqa: N802
        """Receives records that are not in the log yet."""
        await self._handle_unary(stream, self._handler.on_records)

    async def StopZone(self, stream) -> None:  # noqa: N802
        """Stops or resumes starts in a zone immediately."""
        await self._handle_unary(stream, self._handler.on_zone_stop)

    async def FetchState(self, stream) -> None:  # noqa: N802
        """Streams the state of the configuration and job tables."""
        request = await stream.recv_message()
        self._metrics.count_peer_bytes("in", request.ByteSize())
        async for chunk in self._handler.on_fetch_state(request):
            message = peer_pb2.StateChunk(**dataclasses.asdict(chunk))
            await stream.send_message(message)
            self._metrics.count_peer_bytes("out", message.ByteSize())

    async def _handle_unary(self, stream, handle: Callable) -> None:
        request = await stream.recv_message()
        reply = handle(request)
        await stream.send_message(reply)
        self._metrics.count_peer_bytes("in", request.ByteSize())
        self._metrics.count_peer_bytes("out", reply.ByteSize())


class Peers:
    """Client for the other hosts, with one channel to each."""

    def __init__(self, host_metrics: metrics.Metrics):
        self._metrics = host_metrics
        self._channels_by_address: dict[
            tuple[str, int], grpc_client.Channel
        ] = {}

    async def serve(
        self, handler: Handler, ip: str, port: int
    ) -> grpc_server.Server:
        """Starts the gRPC server."""
        server = grpc_server.Server([PeerService(handler, self._metrics)])
        await server.start(sock=sockets.bind(ip, port))
        return server

    async def heartbeat(
        self,
        address: Address,
        request: peer_pb2.HeartbeatRequest,
        timeout_ms: int,
    ) -> peer_pb2.HeartbeatReply | None:
        """Sends a heartbeat to a host; None if it does not answer."""
        stub = self._stub(address)
        return await self._call(stub.Heartbeat, request, timeout_ms)

    async def share_records(
        self,
        address: Address,
        request: peer_pb2.ShareRecordsRequest,
        timeout_ms: int,
    ) -> peer_pb2.ShareRecordsReply | None:
        """Sends records to a host; None if it does not answer."""
        stub = self._stub(address)
        return await self._call(stub.ShareRecords, request, timeout_ms)

    async def stop_zone(
        self,
        address: Address,
        request: peer_pb2.StopZoneRequest,
        timeout_ms: int,
    ) -> peer_pb2.StopZoneReply | None:
        """Sends a direct stop to a host; None if it does not answer."""
        stub = self._stub(address)
        return await self._call(stub.StopZone, request, timeout_ms)

    async def fetch_state(
        self, address: Address, config_offset: int, jobs_offset: int
    ) -> AsyncIterator[snapshot.Chunk]:
        """Yields chunks of a peer's tables that are ahead of the offsets.

        Raises:
          One of `CALL_ERRORS` if the stream ends before it is complete.
        """
        request = peer_pb2.FetchStateRequest(
            config_offset=config_offset, jobs_offset=jobs_offset
        )
        self._metrics.count_peer_bytes("out", request.ByteSize())
        async with self._stub(address).FetchState.open() as stream:
            await stream.send_message(request, end=True)
            async for message in stream:
                self._metrics.count_peer_bytes("in", message.ByteSize())
                yield snapshot.Chunk(
                    stream=message.stream,
                    offset=message.offset,
                    index=message.index,
                    count=message.count,
                    data=message.data,
                )

    def close(self) -> None:
        """Closes all channels."""
        for channel in self._channels_by_address.values():
            channel.close()

    async def _call(
        self,
        method: Callable[..., Coroutine],
        request,
        timeout_ms: int,
    ):
        self._metrics.count_peer_bytes("out", request.ByteSize())
        try:
            reply = await method(request, timeout=timeout_ms / 1000)
        except CALL_ERRORS:
            return None
        self._metrics.count_peer_bytes("in", reply.ByteSize())
        return reply

    def _stub(self, address: Address) -> peer_grpc.PeerStub:
        key = (address.ip, address.port)
        channel = self._channels_by_address.get(key)
        if channel is None:
            channel = grpc_client.Channel(address.ip, address.port)
            self._channels_by_address[key] = channel
        return peer_grpc.PeerStub(channel)
