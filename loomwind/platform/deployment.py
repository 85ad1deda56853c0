"""Creates a pool daemon with the adapters for the users' platform."""

from loomwind import constants
from loomwind.http.client import Connector, HttpClient
from loomwind.platform.dialect import REQUEST_ID, PlatformDialect
from loomwind.platform.documents import PlatformDocumentParser
from loomwind.platform.engine import PlatformEngineControl
from loomwind.platform.store import PlatformStore
from loomwind.serving.clients import PoolClients
from loomwind.serving.daemon import Deployment, PoolDaemon
from loomwind.settings import Settings, StoreSettings


def create_pool_daemon(settings: Settings, store: StoreSettings) -> PoolDaemon:
    """Return a pool daemon that uses the given store of the platform."""
    connector = Connector(settings.address_overrides, user_timeout_ms=constants.TCP_USER_TIMEOUT_MS)
    clients = PoolClients(
        requests=HttpClient(connector, id_header=REQUEST_ID),
        reports=HttpClient(connector),
        unpooled=HttpClient(connector, max_idle_per_address=0),
        peers=HttpClient(connector),
        store=HttpClient(connector),
    )
    deployment = Deployment(
        store=PlatformStore(clients.store, store.address, store.timeout_seconds),
        documents=PlatformDocumentParser(),
        dialect=PlatformDialect(),
        engine_control=PlatformEngineControl(clients.reports, clients.unpooled),
    )
    return PoolDaemon(settings, deployment, clients)
