import type { Milliseconds } from '@apricotrill/utils';
import type { RelayReplica, RelayService, RouteKind } from '../config/RelayConfiguration.js';
import type { AdmissionRecord } from './admission/AdmissionRecord.js';
import type { KnownGroupLoad } from './groups/GroupLoads/GroupLoads.js';
import type { GroupReason } from './groups/GroupReason.js';

/**
 * The messages that the placement core receives and the effects that it emits. The core does no I/O;
 * the daemon, the tests and the experiments communicate with it through these types alone.
 */

/** A section of a prompt that other prompts may share. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** The prompt that a request sends to an engine, and the length of its output. */
export interface Prompt {
  model: string;
  inputTokens: number;
  /** Maximum number of tokens in the response. */
  outputTokens: number;
  /** In the order of prefill; the last one belongs to this request or its session. */
  parts: PromptPart[];
}

/**
 * A request as the placement core sees it.
 *
 * @public
 */
export interface PlacementRequest {
  /** Unique across all daemons, and never reused. */
  id: string;
  /** Identical for repeated requests with the same content from the same caller. */
  fingerprint: string;
  route: string;
  service: string;
  kind: RouteKind;
  /** Whether it may run again: it is idempotent, or it resumes after the last event received. */
  isRetryable: boolean;
  workspace: string;
  /** Priority among the requests of its service; 0 is the most urgent. */
  rank: number;
  maxAttempts: number;
  latencyTarget: Milliseconds;
  /** Maximum acceptable pause between two events; absent if the response is not a stream. */
  pauseTarget?: Milliseconds;
  /** Time at which the caller or the route stops waiting. */
  deadline: Milliseconds;
  arrivedAt: Milliseconds;
  prompt?: Prompt;
  /** The software version that began the stream that it resumes; absent if it resumes none. */
  softwareVersion?: string;
}

/** How an attempt ended. */
export enum AttemptEnd {
  /** The response is complete, and its status is a success or an error caused by the request. */
  Completed = 'completed',
  /** The response is complete: the replica ran the request and failed. */
  Failed = 'failed',
  /** No byte of the request was sent. */
  NotSent = 'not-sent',
  /** No byte of the request was sent: neither this daemon nor a peer has a path to the replica. */
  NoPath = 'no-path',
  /** The replica states that it did not run the request. */
  Refused = 'refused',
  /** A different replica responded at this address; the request did not run. */
  Misdirected = 'misdirected',
  /** The connection broke or the response is incomplete; the request may have run. */
  Broken = 'broken',
  /** Broken, since its caller did not read it for so long that the replica cut it off. */
  Unread = 'unread',
  /** Not sent, because the replica announced meanwhile that it wants no requests. */
  Withdrawn = 'withdrawn',
  /** Cancelled by the core. */
  Cancelled = 'cancelled',
}

/** What attempts to connect to a replica show, from this daemon and from others. */
export enum ProbeResult {
  /** It accepts connections of this daemon. */
  Up = 'up',
  /** It accepts connections of another daemon, but none of this one. */
  PathLost = 'path-lost',
  /** It refuses connections. */
  Down = 'down',
  /** It doesn't answer, which a slow network would explain as well. */
  Unknown = 'unknown',
}

/** For a request that ends without a response from a replica: whether it ran. */
export enum Outcome {
  NotRun = 'not-run',
  Unknown = 'unknown',
}

/** Why the core gives up a request. */
export enum GiveUpReason {
  /** Its deadline has passed. */
  Deadline = 'deadline',
  /** No replica of the service is available. */
  NoReplica = 'no-replica',
  /** Every eligible replica refused it, or the retry budget is exhausted. */
  Refused = 'refused',
  /** It may have run, and must not run again. */
  MayHaveRun = 'may-have-run',
  /** Every replica of the service is backed off for longer than the request can wait. */
  BackedOff = 'backed-off',
  /** No replica in service has the software version that began the stream. */
  VersionGone = 'version-gone',
  /** Its service has more waiting requests than can be served in time. */
  Overload = 'overload',
  /** The request is quarantined because it crashes replicas. */
  Quarantined = 'quarantined',
  /** The request has reached the crash threshold and awaits evaluation. */
  UnderReview = 'under-review',
  /** An unexpected error kept it from being placed. */
  Failed = 'failed',
}

/** Why an attempt goes on although its replica is silent or the path to it is lost. */
export enum KeepReason {
  /** The retry budget of its service is exhausted. */
  NoRetry = 'no-retry',
  /** No other replica that it may run on has room, or is known to respond. */
  NoReplica = 'no-replica',
  /** The placers of its service do not admit it again. */
  NotAdmitted = 'not-admitted',
  /** It may be responsible for crashes of replicas. */
  Suspect = 'suspect',
  /** The replica has begun to respond. */
  Responds = 'responds',
}

/** Load reported by a replica. */
export interface LoadReport {
  running: number;
  waiting: number;
  slots: number;
  /**
   * How long work takes on the replica's machine at the moment, relative to the usual time; 1 means as
   * usual. Absent if the replica does not state it.
   */
  slowdown?: number;
}

/** A change to the prefix cache of an engine. */
export interface CacheChange {
  kind: 'added' | 'removed';
  part: string;
  /** Tokens of the part that are now cached. */
  tokens: number;
  model: string;
}

/** An attempt in flight, as announced to other daemons. */
export interface SharedAttempt {
  /** Unique among the attempts of its daemon. */
  key: string;
  replica: string;
  missingTokens: number;
  memoryTokens: number;
  /** Absent if the response is not a stream. */
  pauseTarget?: Milliseconds;
  isResponding: boolean;
  /** The prompt, whose parts the engine will cache. */
  prompt?: Prompt;
}

/** The properties of a request on which the choice of a replica depends. */
export type PlacementCriteria = Pick<
  PlacementRequest,
  'service' | 'rank' | 'latencyTarget' | 'pauseTarget' | 'prompt'
>;

/** What the placer of a group needs in order to decide whether a request begins, waits or is refused. */
export interface AdmissionClaim {
  /** Name of the replica group that the request is to go to. */
  group: string;
  /** Empty if the caller needs no workspace. */
  workspace: string;
  /** Identical for repeated requests with the same content from the same caller. */
  fingerprint: string;
  /** Time since the request arrived at the daemon that received it. */
  waited: Milliseconds;
  /** Time until its caller or its route stops waiting. */
  timeLeft: Milliseconds;
}

/** Queries the placer of a replica group for the replica of an attempt. */
export interface PlacementQuery {
  /** Identifies the attempt among those of the querying daemon. */
  key: string;
  criteria: PlacementCriteria;
  /** Availability zone of the querying daemon; empty if zones are not considered. */
  availabilityZone: string;
  /** IDs of replicas that must not be chosen. */
  excludedReplicas: string[];
  /** Present for services under admission control. */
  claim?: AdmissionClaim;
}

/** The replica that a placer chose for another daemon's attempt, and the estimates behind it. */
export interface Placement {
  replica: string;
  expected: Milliseconds;
  missingTokens: number;
  tokensAhead: number;
  copyTime: Milliseconds;
  /** The replica to copy cached tokens from. */
  fetchFrom?: string;
  /** Number of tokens to copy. */
  fetchTokens?: number;
}

/** Response to a placement query. From then on, the placer counts the attempt as in flight. */
export interface PlacementResponse {
  key: string;
  /** Absent if no replica of the group is suitable. */
  placement?: Placement;
  /** Present if the placer keeps the query until a replica has room, and responds again then. */
  queued?: { expectedWait: Milliseconds };
  /** Present if the placer refuses the request, which therefore does not run. */
  refused?: { retryAfter: Milliseconds };
}

/** The load of a group of replicas, as its placer sees it. */
export interface GroupLoad {
  group: string;
  /** Expected wait of a request that arrives now and is no more urgent than any that waits. */
  expectedWait: Milliseconds;
  /** Requests that could begin at once. */
  room: number;
}

/** How an attempt ended, reported to the placer of its replica. */
export interface SharedAttemptResult {
  end: AttemptEnd;
  /** Time from the send to the end. */
  duration: Milliseconds;
}

/** A request, or a part of prompts, that is rejected because it crashes replicas. */
export interface QuarantinedContent {
  /** Of the request or the part. */
  fingerprint: string;
  /** Time until it is accepted again. */
  remaining: Milliseconds;
  /** IDs of replicas that crashed while it was in flight; may be incomplete. */
  replicas: string[];
}

/** The request rate limit stated in a replica's response. */
export type StatedLimit =
  | { kind: 'rate'; perSecond: number }
  /** The stated limit cannot be parsed. */
  | { kind: 'invalid'; text: string };

/** The number of requests that a replica can turn away within a second without falling over. */
export type StatedThreshold =
  | { kind: 'count'; count: number }
  /** The stated number cannot be parsed. */
  | { kind: 'invalid'; text: string };

/** The threshold that a replica states, as exchanged between daemons. */
export interface SharedFragility {
  replica: string;
  threshold: number;
  /** Time since the response that stated it. */
  age: Milliseconds;
}

/** A replica's limit as exchanged between daemons. */
export interface SharedLimit {
  replica: string;
  /** Requests per second from all daemons together; undefined if the limit was lifted. */
  perSecond: number | undefined;
  /** Time since the response that stated or lifted the limit. */
  age: Milliseconds;
}

/** A backoff that a replica asked a daemon for, as exchanged between daemons. */
export interface SharedBackoff {
  replica: string;
  /** Time until it ends. */
  remaining: Milliseconds;
}

/** An update that one daemon sends to others. */
export type PlacementUpdate =
  | { kind: 'placed'; attempt: SharedAttempt }
  /** The first byte of the response arrived, so the engine has completed prefill. */
  | { kind: 'first-byte-received'; key: string; load?: LoadReport }
  /** `result` is absent if the attempt provides no information about its replica. */
  | {
      kind: 'ended';
      key: string;
      result?: SharedAttemptResult;
      /** Whether the recipient has requests that wait for the slot of this attempt. */
      isUrgent?: boolean;
    }
  | { kind: 'ask'; query: PlacementQuery }
  | { kind: 'reply'; response: PlacementResponse }
  /** The loads of the groups of a service of which the sender is the placer. */
  | { kind: 'group-loads'; service: string; loads: GroupLoad[] }
  /** An attempt at a replica broke, or a liveness check of the replica failed. */
  | { kind: 'attempt-broken'; replica: string }
  /** Requests, and parts of their prompts, that were in flight at a replica when it crashed. */
  | { kind: 'crashed'; replica: string; fingerprints: string[] }
  /** Content that was in flight at crashes has been served by a replica that kept running. */
  | { kind: 'cleared'; fingerprint: string }
  | { kind: 'quarantined'; contents: QuarantinedContent[] }
  | { kind: 'limits'; limits: SharedLimit[] }
  | { kind: 'fragile'; replicas: SharedFragility[] }
  /** A fragile replica turned a request away. */
  | { kind: 'turned-away'; replica: string }
  /** IDs of replicas that announced that they are about to leave. */
  | { kind: 'leaving'; replicas: string[] }
  | { kind: 'backoffs'; backoffs: SharedBackoff[] }
  /** All attempts in flight; replaces everything announced before. */
  | { kind: 'attempt-list'; attempts: SharedAttempt[] };

/** @public */
export type PlacementMessage =
  | { kind: 'services'; services: readonly RelayService[] }
  | { kind: 'replicas'; replicas: readonly RelayReplica[] }
  | { kind: 'submit'; request: PlacementRequest }
  | { kind: 'caller-left'; id: string }
  /** The request was ended by an unexpected error. */
  | { kind: 'request-failed'; id: string }
  /** The first byte of a response arrived. */
  | { kind: 'first-byte-received'; id: string; attempt: number }
  /** The caller is sent what the replica of an attempt writes to its stream. */
  | { kind: 'stream-started'; id: string; attempt: number }
  /** The connection of an attempt carries nothing any more, because its path is lost. */
  | { kind: 'attempt-stranded'; id: string; attempt: number }
  /** A replica has sent something over a connection of this daemon; repeated while it does. */
  | { kind: 'contact'; replica: string }
  | { kind: 'attempt-ended'; id: string; attempt: number; end: AttemptEnd }
  | { kind: 'load'; replica: string; report: LoadReport }
  /** The limit stated in a replica's response; undefined if it states none. */
  | { kind: 'limit'; replica: string; sentAt: Milliseconds; limit: StatedLimit | undefined }
  /** The threshold stated in a replica's response; undefined if it states none. */
  | {
      kind: 'threshold';
      replica: string;
      sentAt: Milliseconds;
      threshold: StatedThreshold | undefined;
    }
  /** Number of daemons, including this one. */
  | { kind: 'daemons'; count: number }
  /** The reachable daemons, including this one. */
  | {
      kind: 'fleet';
      self: string;
      daemons: readonly string[];
      /** By daemon; undefined for those that don't state it. */
      capacities?: ReadonlyMap<string, number | undefined>;
    }
  | { kind: 'peer-update'; peer: string; update: PlacementUpdate }
  /** A peer sent nothing for so long that it is considered gone. */
  | { kind: 'peer-removed'; peer: string }
  /** Result of a health check. */
  | { kind: 'health'; replica: string; isHealthy: boolean }
  /** Result of a liveness check. */
  | { kind: 'liveness-checked'; replica: string; isAlive: boolean }
  | { kind: 'probed'; replica: string; result: ProbeResult }
  /** Quarantined content read from the store. */
  | { kind: 'quarantine'; contents: readonly QuarantinedContent[] }
  /** An operator has released quarantined content. */
  | { kind: 'release'; fingerprint: string }
  /** A replica announces that it is about to leave; `source` names the response, for the log. */
  | { kind: 'leaving'; replica: string; source: string }
  /** A replica turned a request away and wants nothing from this daemon for `span`. */
  | { kind: 'backoff'; replica: string; span: Milliseconds; source: string }
  | { kind: 'cache-changed'; replica: string; changes: readonly CacheChange[] }
  /** The complete cache of an engine; replaces everything known before. */
  | { kind: 'cache-listed'; replica: string; changes: readonly CacheChange[] }
  /** The cache contents of an engine are no longer known. */
  | { kind: 'cache-lost'; replica: string };

/** @public */
export type PlacementEffect =
  | { kind: 'send'; id: string; attempt: number; replica: RelayReplica; choice: Choice }
  | { kind: 'cancel'; id: string; attempt: number; reason: CancelReason }
  /** An attempt that was to be replaced goes on, since no other one can begin. */
  | { kind: 'keep'; id: string; attempt: number; reason: CancelReason; because: KeepReason }
  | {
      kind: 'give-up';
      id: string;
      outcome: Outcome;
      reason: GiveUpReason;
      /** When a retry makes sense; absent if it does not. */
      retryAfter?: Milliseconds;
      /** Fingerprint of the quarantined content, if that is the reason. */
      quarantined?: string;
    }
  /** The response of this attempt is final, even if it is a failure. */
  | { kind: 'settle'; id: string; attempt: number }
  /** Sends an update to all other daemons, or to one of them. */
  | { kind: 'share'; update: PlacementUpdate; to?: string }
  /** This daemon, as a placer, chose a replica for a peer's attempt. */
  | { kind: 'placed-for'; peer: string; key: string; replica: RelayReplica; choice: Choice }
  /** This daemon, as a placer, decided whether a request of any daemon begins, waits or is refused. */
  | { kind: 'admission-decided'; record: AdmissionRecord }
  /** The placer keeps a request of this daemon until an engine has room for it. */
  | {
      kind: 'queued';
      id: string;
      key: string;
      placer: string;
      waited: Milliseconds;
      expectedWait: Milliseconds;
    }
  /** A request of this daemon is not admitted; without a placer, this daemon decided by its own state. */
  | {
      kind: 'not-admitted';
      id: string;
      key?: string;
      placer?: string;
      waited: Milliseconds;
      retryAfter?: Milliseconds;
    }
  /** The group that a request of a service under admission control is sent to. */
  | {
      kind: 'group-chosen';
      id: string;
      service: string;
      group: string;
      home: string;
      reason: GroupReason;
      /** The load of the group, and that of the home group; undefined if unknown. */
      load: KnownGroupLoad | undefined;
      homeLoad: KnownGroupLoad | undefined;
    }
  /**
   * A placer did not respond in time and is not queried for `span`. `lastResponseAge` is the time since
   * its last response to any query, if there was one; `pending` counts the queries without a response.
   */
  | {
      kind: 'placer-silent';
      peer: string;
      span: Milliseconds;
      lastResponseAge: Milliseconds | undefined;
      pending: number;
    }
  /** A response of a placer belongs to no pending query, so that its placement is released. */
  | { kind: 'response-unused'; peer: string; key: string }
  /** IDs of the engines whose caches this daemon needs to follow; absent for all. */
  | { kind: 'follow-caches'; engines?: ReadonlySet<string> }
  /** An engine has sent nothing for a while: check whether it is alive. */
  | { kind: 'check-liveness'; replica: RelayReplica }
  /** Attempts at a replica failed: probe whether it or only the path to it is at fault. */
  | { kind: 'probe'; replica: RelayReplica }
  /** A replica crashed while this content of this daemon's requests was in flight. */
  | { kind: 'crashed'; replica: string; fingerprints: readonly string[] }
  /** Content has been quarantined; `isOwn` if this daemon reports it to the others. */
  | { kind: 'quarantined'; content: QuarantinedContent; isOwn: boolean }
  /** A request with a quarantined part is let through, to find out whether replicas can serve it. */
  | { kind: 'trial'; fingerprint: string }
  /** The quarantine of content ends before its term; `isOwn` as above. */
  | { kind: 'released'; fingerprint: string; isOwn: boolean }
  /** The limit of a replica, in requests per second, is new or has changed. */
  | { kind: 'limited'; replica: string; perSecond: number; previous: number | undefined }
  | { kind: 'unlimited'; replica: string }
  /** A replica states a limit that cannot be parsed. */
  | { kind: 'limit-refused'; replica: string; text: string }
  /** A replica states that it falls over when it turns more than `threshold` requests away in a second. */
  | { kind: 'fragile'; replica: string; threshold: number }
  | { kind: 'robust'; replica: string }
  /** A replica states a threshold that cannot be parsed. */
  | { kind: 'threshold-refused'; replica: string; text: string }
  /**
   * A fragile replica turned a request of this daemon away. `inFlight` counts what this daemon believed to
   * be in flight there, `reported` is the last load that the replica stated.
   */
  | {
      kind: 'turned-away';
      replica: string;
      threshold: number;
      inFlight: number;
      reported: LoadReport | undefined;
    }
  /** A fragile replica turned requests away, and gets nothing for `span`. */
  | { kind: 'replica-held'; replica: string; rejections: number; span: Milliseconds }
  /** A replica announced that it is about to leave, in the given response or to the given peer. */
  | { kind: 'replica-leaving'; replica: string; source: string }
  /** This daemon sends a replica nothing for `span`, as the replica asked in the given response. */
  | { kind: 'replica-backed-off'; replica: string; span: Milliseconds; source: string }
  | { kind: 'suspect'; replica: RelayReplica; reason: string }
  | { kind: 'mark-healthy'; replica: RelayReplica }
  /** Too many attempts of all daemons broke there: it gets no requests for `span`. */
  | { kind: 'start-cooldown'; replica: RelayReplica; span: Milliseconds }
  /** An unexpected error, after which the placement goes on. */
  | { kind: 'fault'; id?: string; step: string; error: unknown };

/** Why an attempt is cancelled. */
export enum CancelReason {
  CallerLeft = 'caller-left',
  /** The request was ended by an unexpected error. */
  RequestFailed = 'request-failed',
  Deadline = 'deadline',
  /** The replica sent nothing for too long, and the request may run elsewhere. */
  Silent = 'silent',
  /** The request is quarantined because it crashes replicas. */
  Quarantined = 'quarantined',
  /** Its connection carries nothing any more, and the request may run elsewhere. */
  PathLost = 'path-lost',
}

/** Estimates of inter-token pauses behind the choice of an engine, for the log. */
export interface PauseEstimate {
  /** Estimated prefill rate of the engine, in tokens per millisecond. */
  readRate: number;
  /** Longest uninterrupted prefill that meets the request's pause target; absent if unlimited. */
  slack?: Milliseconds;
  /** Share of recent time that the engine spent on prefill. */
  readingShare: number;
  /** Number of other streams expected to exceed their pause target because of this choice. */
  harmed: number;
}

/** A choice of a replica with its inputs, for the log. */
export interface Choice {
  /** The value that the choice minimizes: the expected wait plus the cost to other requests. */
  cost: Milliseconds;
  /** Expected time from the send to the first byte. */
  expected: Milliseconds;
  /** Prompt tokens that the engine has to prefill. */
  missingTokens: number;
  /** The same, plus the tokens of requests that it prefills before. */
  tokensAhead: number;
  /** Whether these are reliable: the cache is known, or the replica is the home of the session. */
  isTelling: boolean;
  /** Expected time to copy cached tokens. */
  copyTime: Milliseconds;
  /** The replica to copy cached tokens of the prompt from. */
  fetchFrom?: RelayReplica;
  /** Number of tokens to copy. */
  fetchTokens?: number;
  /** Present if the request has a prompt. */
  pauses?: PauseEstimate;
  /** The daemon that chose, if it was a peer, and how long its response took. */
  placer?: { daemon: string; key: string; waited: Milliseconds };
  /** Requests in flight at the replica, as far as this daemon knows. */
  inFlight: number;
  /** The last load report of the replica. */
  reported?: LoadReport;
  /** Age of that report. */
  reportAge?: Milliseconds;
  /** Whether the replica seemed slow, and is tried again without regard to that. */
  isTrial?: boolean;
  /** The second-best replica. */
  runnerUp?: { replica: string; cost: Milliseconds };
}
