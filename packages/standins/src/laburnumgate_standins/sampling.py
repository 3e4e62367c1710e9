"""Samples the utilization of the endpoints while the demo runs."""

import asyncio
import dataclasses
import time

import aiohttp

from laburnumgate_standins import layout as layout_module

SAMPLE_INTERVAL_S = 0.25


@dataclasses.dataclass(frozen=True)
class Sample:
    """Free accelerators by endpoint id at a monotonic time in s."""

    at_s: float
    free_by_endpoint: dict[str, int]


class Sampler:
    """Reads the free accelerators of every endpoint periodically."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        urls_by_endpoint: dict[str, str],
        layout: layout_module.Layout,
    ):
        self.samples: list[Sample] = []
        self._session = session
        self._urls_by_endpoint = urls_by_endpoint
        self._layout = layout

    async def run(self) -> None:
        """Takes samples until cancelled."""
        while True:
            free = await asyncio.gather(
                *map(
                    self._read_free_accelerators,
                    self._urls_by_endpoint.values(),
                )
            )
            free_by_endpoint = dict(
                zip(self._urls_by_endpoint, free, strict=True)
            )
            self.samples.append(Sample(time.monotonic(), free_by_endpoint))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def fragmentation(self, from_s: float, until_s: float) -> float:
        """Returns the mean share of free capacity on partly used endpoints."""
        fractions = []
        for sample in self._samples_between(from_s, until_s):
            free = sample.free_by_endpoint.values()
            total = sum(free)
            if not total:
                continue
            capacity = self._layout.accelerators
            partial = sum(count for count in free if count < capacity)
            fractions.append(partial / total)
        return sum(fractions) / len(fractions) if fractions else 0.0

    def used_accelerator_seconds(
        self, from_s: float, until_s: float
    ) -> dict[str, float]:
        """Returns the accelerator-seconds used in a time span, by zone."""
        used_by_zone = dict.fromkeys(self._layout.zones, 0.0)
        previous_s = from_s
        for sample in self._samples_between(from_s, until_s):
            elapsed_s = sample.at_s - previous_s
            previous_s = sample.at_s
            for endpoint_id, free in sample.free_by_endpoint.items():
                zone = zone_of(endpoint_id)
                used = self._layout.accelerators - free
                used_by_zone[zone] += used * elapsed_s
        return used_by_zone

    def _samples_between(self, from_s: float, until_s: float) -> list[Sample]:
        return [s for s in self.samples if from_s <= s.at_s <= until_s]

    async def _read_free_accelerators(self, url: str) -> int:
        async with self._session.get(f"{url}/report?since=0") as response:
            report = await response.json()
        return report["usage"]["free_accelerators"]


def zone_of(endpoint_id: str) -> str:
    """Returns the zone of an endpoint whose id is of the form ZONE-rN-K."""
    return endpoint_id.rsplit("-", 2)[0]
