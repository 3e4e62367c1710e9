"""External services that a leader uses."""

from collections.abc import Callable
import dataclasses

from laburnumgate_placer import config_table
from laburnumgate_placer import model
from laburnumgate_placer import ports


@dataclasses.dataclass(frozen=True, slots=True)
class Services:
    """Ports, decoders and topics of one deployment.

    Attributes:
      log: the log service.
      endpoints: calls to endpoints.
      advisor: the advice service, None if the deployment has none.
      machines: the machine API, None if the deployment has none.
      decode_endpoint: decodes an entry of the live list.
      apply_operator_entry: applies an entry published by operators.
      encode_wave_state: returns the key and value of a status record for
        operators, given the number of a wave and whether it is completed.
      operator_topic: topic that operators write to.
      list_topic: topic of the live list.
      status_topic: topic that operators read.
    """

    log: ports.Log
    endpoints: ports.Endpoints
    advisor: ports.Advisor | None
    machines: ports.Machines | None
    decode_endpoint: Callable[[ports.Entry], model.Endpoint | None]
    apply_operator_entry: Callable[
        [config_table.ConfigTable, ports.Entry], None
    ]
    encode_wave_state: Callable[[int, bool], tuple[str, bytes]]
    operator_topic: str
    list_topic: str
    status_topic: str
