"""The messages of the protocol between daemons, encoded as MessagePack by msgspec.

Control decisions are made per cell, so control messages carry the name of their cell.
Stamps are ordered like tuples; the higher one is newer.
"""

from loomwind.messages.catalog import CatalogAnswer, CatalogRequest, CatalogUpdate
from loomwind.messages.claims import (
    AdmitVoter,
    Claim,
    ClaimAnswer,
    ClaimRecord,
    ClaimRelease,
    ClaimTransfer,
    ClaimTransferRequest,
    ClaimVerdict,
    VoterAdmitted,
)
from loomwind.messages.identity import Acknowledgement, MemberInfo, Message, VoterId
from loomwind.messages.membership import (
    Digest,
    Heartbeat,
    HeartbeatAnswer,
    MemberList,
    ProbeAnswer,
    ProbeRequest,
)
from loomwind.messages.register import (
    Accept,
    Accepted,
    Ballot,
    Intent,
    Prepare,
    Promise,
    Refused,
    RegisterValue,
    Stamp,
)
from loomwind.messages.routing import (
    ApplicationRoute,
    BackendReport,
    DemandEntry,
    DemandReport,
    EngineRoute,
    GroupPlaces,
    LoadEstimate,
    RoutingRequest,
    RoutingUpdate,
)
from loomwind.messages.serving import (
    ConfigurationCopy,
    ConfigurationNotice,
    ConfigurationQuestion,
    DirectoryCopy,
    LeaderAnswer,
    LeaderQuestion,
    LeaseNotice,
    OriginAnswer,
    OriginNotice,
    OriginQuestion,
    PermitGrants,
    PermitQuestion,
    PermitReport,
    PoolDemand,
    PoolDigest,
    PoolExpectations,
    PoolHoldings,
    PromptCrash,
    PromptCrashes,
    PromptsAnswered,
    RejectionLimitNotice,
    ServerDeparture,
    ServerDepartures,
    ServerListAnswer,
    ServerListQuestion,
)

AnyMessage = (
    Prepare
    | Promise
    | Accept
    | Accepted
    | Refused
    | Claim
    | ClaimAnswer
    | ClaimRelease
    | ClaimTransferRequest
    | ClaimTransfer
    | AdmitVoter
    | VoterAdmitted
    | Heartbeat
    | HeartbeatAnswer
    | MemberList
    | ProbeRequest
    | ProbeAnswer
    | DemandReport
    | RoutingUpdate
    | RoutingRequest
    | BackendReport
    | CatalogUpdate
    | CatalogRequest
    | CatalogAnswer
    | Acknowledgement
    | LeaderQuestion
    | LeaderAnswer
    | PoolDemand
    | PoolHoldings
    | PoolDigest
    | ConfigurationCopy
    | ConfigurationNotice
    | ConfigurationQuestion
    | DirectoryCopy
    | LeaseNotice
    | PoolExpectations
    | ServerListQuestion
    | ServerListAnswer
    | OriginQuestion
    | OriginAnswer
    | OriginNotice
    | ServerDepartures
    | PromptCrashes
    | PromptsAnswered
    | PermitQuestion
    | PermitReport
    | PermitGrants
    | RejectionLimitNotice
)

__all__ = [
    "Accept",
    "Accepted",
    "Acknowledgement",
    "AdmitVoter",
    "AnyMessage",
    "ApplicationRoute",
    "BackendReport",
    "Ballot",
    "CatalogAnswer",
    "CatalogRequest",
    "CatalogUpdate",
    "Claim",
    "ClaimAnswer",
    "ClaimRecord",
    "ClaimRelease",
    "ClaimTransfer",
    "ClaimTransferRequest",
    "ClaimVerdict",
    "ConfigurationCopy",
    "ConfigurationNotice",
    "ConfigurationQuestion",
    "DemandEntry",
    "DemandReport",
    "Digest",
    "DirectoryCopy",
    "EngineRoute",
    "GroupPlaces",
    "Heartbeat",
    "HeartbeatAnswer",
    "Intent",
    "LeaderAnswer",
    "LeaderQuestion",
    "LeaseNotice",
    "LoadEstimate",
    "MemberInfo",
    "MemberList",
    "Message",
    "OriginAnswer",
    "OriginNotice",
    "OriginQuestion",
    "PermitGrants",
    "PermitQuestion",
    "PermitReport",
    "PoolDemand",
    "PoolDigest",
    "PoolExpectations",
    "PoolHoldings",
    "Prepare",
    "ProbeAnswer",
    "ProbeRequest",
    "Promise",
    "PromptCrash",
    "PromptCrashes",
    "PromptsAnswered",
    "Refused",
    "RegisterValue",
    "RejectionLimitNotice",
    "RoutingRequest",
    "RoutingUpdate",
    "ServerDeparture",
    "ServerDepartures",
    "ServerListAnswer",
    "ServerListQuestion",
    "Stamp",
    "VoterAdmitted",
    "VoterId",
]
