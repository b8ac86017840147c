export { PriorityRanks } from './lib/config/PriorityRanks.js';
export { RouteKind } from './lib/config/RelayConfiguration.js';
export type {
  CallerLimits,
  EngineProfile,
  RelayConfiguration,
  RelayReplica,
  RelayRoute,
  RelayService,
  RelayWorkspace,
  RouteTarget,
} from './lib/config/RelayConfiguration.js';
export { ReplicaIdentity } from './lib/upstream/EndConfirmation/ReplicaIdentity.js';
export type { HealthSource } from './lib/daemon/HealthChecks/HealthChecks.js';
export { RelayDaemon } from './lib/daemon/RelayDaemon.js';
export type { ReplicaEndpoint } from './lib/daemon/ReplicaPaths.js';
export type { QuarantineStore } from './lib/daemon/QuarantineStore.js';
export type { StreamVersion } from './lib/streams/StreamVersions/StreamVersions.js';
export type { StreamVersionStore } from './lib/streams/StreamVersionStore.js';
export type { InstanceSize } from './lib/decide/Fleet/getPlacementCapacity.js';
export type { ListenAddress, RelaySettings } from './lib/daemon/RelaySettings.js';
export { HttpClient, parseJson } from './lib/http/HttpClient.js';
export type { HttpResponse, HttpRequest } from './lib/http/HttpClient.js';
export { AttemptEnd, CancelReason, Outcome, ProbeResult } from './lib/decide/messages.js';
export type {
  CacheChange,
  LoadReport,
  PlacementEffect,
  PlacementMessage,
  Prompt,
  PromptPart,
  QuarantinedContent,
  SharedAttempt,
  SharedLimit,
  PlacementUpdate,
  StatedLimit,
  StatedThreshold,
} from './lib/decide/messages.js';
export { PlacementCore } from './lib/decide/PlacementCore/PlacementCore.js';
export { placementOptions } from './lib/decide/placementOptions.js';
export type { PlacementOptions } from './lib/decide/placementOptions.js';
export type {
  CacheListResult,
  CacheUpdate,
  CacheSource,
} from './lib/follow/CacheFollower/CacheFollower.js';
export type {
  ObjectChange,
  ObjectList,
  ObjectSource,
  StoreEra,
  WatchResult,
} from './lib/follow/StateFollower/ObjectSource.js';
export { eventMeanings, getEventTable } from './lib/observe/eventMeanings.js';
export { getErrorText } from './lib/observe/getErrorText.js';
export { createRelayLog } from './lib/observe/createRelayLog.js';
export type { RelayEvent, RelayLog } from './lib/observe/RelayEvent.js';
export { RelayMetrics } from './lib/observe/RelayMetrics.js';
export { findHeader, getEndToEndHeaders } from './lib/protocol/connectionHeaders.js';
export { UnreadableKind } from './lib/protocol/UnreadableField.js';
export type { UnreadableField } from './lib/protocol/UnreadableField.js';
export type {
  ReplicaNotice,
  RequestedBackoff,
  ResponseFields,
  RequestFields,
  RelayProtocol,
  UpstreamFields,
} from './lib/protocol/RelayProtocol.js';
export type { ResponseHead } from './lib/upstream/UpstreamExchange/UpstreamExchange.js';
export type { PeerDirectory, PeerEntry } from './lib/peers/PeerDirectory.js';
