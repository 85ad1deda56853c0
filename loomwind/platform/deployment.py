"""Creates a pool daemon with the adapters for the users' platform."""

from loomwind import constants
from loomwind.http.client import Connector, HttpClient
from loomwind.platform.dialect import REQUEST_ID, PlatformDialect
from loomwind.platform.documents import PlatformDocumentParser
from loomwind.platform.engine import PlatformEngineControl
from loomwind.platform.store import PlatformStore
from loomwind.serving.daemon import Deployment, PoolDaemon
from loomwind.settings import Settings, StoreSettings


def create_pool_daemon(settings: Settings, store: StoreSettings) -> PoolDaemon:
    """Return a pool daemon that uses the given store of the platform."""
    connector = Connector(settings.address_overrides, user_timeout_ms=constants.TCP_USER_TIMEOUT_MS)
    # Responses of the store, and of servers to orders and for reports, name no request.
    control_client = HttpClient(connector)
    deployment = Deployment(
        store=PlatformStore(control_client, store.address, store.timeout_seconds),
        documents=PlatformDocumentParser(),
        dialect=PlatformDialect(),
        engine_control=PlatformEngineControl(control_client),
    )
    return PoolDaemon(
        settings, deployment, HttpClient(connector, id_header=REQUEST_ID), HttpClient(connector)
    )
