"""The components of an instance that request handlers use."""

import typing

from vanillayoke.core import logs
from vanillayoke.core import timers
from vanillayoke.gateway import access as access_module
from vanillayoke.gateway import catalog as catalog_module
from vanillayoke.gateway import dialect as dialect_module
from vanillayoke.gateway import first_start as first_start_module
from vanillayoke.gateway import histories as histories_module
from vanillayoke.gateway import limits as limits_module
from vanillayoke.gateway import load_queries
from vanillayoke.gateway import memory_limit as memory_limit_module
from vanillayoke.gateway import messages
from vanillayoke.gateway import metrics as metrics_module
from vanillayoke.gateway import program_admission
from vanillayoke.gateway import quarantine as quarantine_module
from vanillayoke.gateway import reservations as reservations_module
from vanillayoke.gateway import response_ends as response_ends_module
from vanillayoke.gateway import resumptions as resumptions_module
from vanillayoke.gateway import shutdown as shutdown_module
from vanillayoke.gateway import slot_requests as slot_requests_module
from vanillayoke.gateway import store as store_module
from vanillayoke.gateway import stream_texts as stream_texts_module
from vanillayoke.gateway import zone_loads
from vanillayoke.scheduling import occupancy
from vanillayoke.transport import pools


class Context(typing.NamedTuple):
    """The components that request handlers use.

    ``spawn`` runs a coroutine in the background; ``random_float`` returns a
    random number between 0 and 1; ``is_isolated`` returns whether this
    instance can reach neither the store nor most other instances.
    ``get_settings`` returns the present settings, ``settings`` holds those at
    the start.
    """

    settings: messages.Settings
    dialect: dialect_module.Dialect
    timers: timers.TimerService
    catalog: catalog_module.Catalog
    access: access_module.Access
    limits: limits_module.Limits
    occupancy: occupancy.Occupancy
    pool: pools.Pool
    store: store_module.StoreClient
    reservations: reservations_module.Reservations
    load_queries: load_queries.LoadQueries
    slot_requests: slot_requests_module.SlotRequests
    histories: histories_module.Histories
    log: logs.Logger
    metrics: metrics_module.Metrics
    spawn: typing.Callable[[typing.Coroutine], None]
    random_float: typing.Callable[[], float]
    is_isolated: typing.Callable[[], bool]
    zone_loads: zone_loads.ZoneLoads
    memory_limit: memory_limit_module.MemoryLimit
    program_admission: program_admission.ProgramAdmission
    resumptions: resumptions_module.Resumptions
    stream_texts: stream_texts_module.StreamTexts
    shutdown: shutdown_module.Shutdown
    first_start: first_start_module.FirstStart
    quarantine: quarantine_module.Quarantine
    response_ends: response_ends_module.ResponseEnds
    get_settings: typing.Callable[[], messages.Settings]
    # Called with an unexpected error and the request that it ended.
    on_failure: typing.Callable[[BaseException, str], None]

    @property
    def configuration_version(self) -> int:
        """The version of the active configuration, 0 if there is none."""
        return self.catalog.version
