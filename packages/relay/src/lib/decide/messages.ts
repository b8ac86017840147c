import type { Milliseconds } from '@apricotrill/utils';
import type { RelayReplica, RelayService, RouteKind } from '../config/RelayConfiguration.js';

/**
 * The messages of the placement core: what the sockets around it tell it, and what it tells them
 * to do. It has no I/O; the daemon, the tests and the experiments speak these and nothing else.
 */

/** A part of a prompt that other prompts may share. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** What a request asks of an engine. */
export interface Prompt {
  model: string;
  inputTokens: number;
  /** The most tokens that the answer may have. */
  outputTokens: number;
  /** In the order in which the engine reads them; the last belongs to this request or session. */
  parts: PromptPart[];
}

/**
 * A request as the placement core sees it.
 *
 * @public
 */
export interface PlacementRequest {
  /** Unique over all daemons and time. */
  id: string;
  /** Identical for repeated requests with the same content from the same caller. */
  fingerprint: string;
  route: string;
  service: string;
  kind: RouteKind;
  /** Whether a run may be followed by another one: idempotent, or resumed after the last event. */
  repeatable: boolean;
  workspace: string;
  /** Its place among the requests of its service; 0 is the most urgent. */
  rank: number;
  maxAttempts: number;
  latencyTarget: Milliseconds;
  /** The longest pause between two events that is still in time; absent where there are none. */
  pauseTarget?: Milliseconds;
  /** The caller, or the route, waits no longer. */
  deadline: Milliseconds;
  arrivedAt: Milliseconds;
  prompt?: Prompt;
}

/** How one attempt at a replica ended. */
export enum AttemptEnd {
  /** The whole answer came, and the replica calls it a success or a fault of the request. */
  Completed = 'completed',
  /** The whole answer came: the replica ran the request and failed. */
  Failed = 'failed',
  /** No byte of the request left this daemon. */
  NotSent = 'not-sent',
  /** The replica says that it did not run the request. */
  Refused = 'refused',
  /** Another replica answers at this address; nothing ran. */
  Misdirected = 'misdirected',
  /** The connection broke, or what came is no whole answer: the request may have run. */
  Broken = 'broken',
  /** Cancelled on order of the core. */
  Cancelled = 'cancelled',
}

/** What is known of a request that gets no answer of a replica. */
export enum Outcome {
  NotRun = 'not-run',
  Unknown = 'unknown',
}

/** Why a request is given up. */
export enum GiveUpReason {
  /** Its time is over. */
  Deadline = 'deadline',
  /** No replica of the service is known to work. */
  NoReplica = 'no-replica',
  /** Every replica it may be sent to refused it, or the budget of repeats is spent. */
  Refused = 'refused',
  /** It may have run and must not run again. */
  MayHaveRun = 'may-have-run',
  /** More of its service waits than could be answered in time. */
  Overload = 'overload',
  /** The request is quarantined because it crashes replicas. */
  Quarantined = 'quarantined',
  /** The request has reached the crash threshold and awaits evaluation. */
  UnderReview = 'under-review',
}

/** A replica's own word on its load. */
export interface LoadReport {
  running: number;
  waiting: number;
  slots: number;
}

/** A change of what an engine keeps in its memory. */
export interface CacheChange {
  kind: 'added' | 'removed';
  part: string;
  /** Tokens of the part that are kept now. */
  tokens: number;
  model: string;
}

/** A request that is under way at a replica, as daemons tell each other. */
export interface SharedAttempt {
  /** Unique among the attempts of one daemon. */
  key: string;
  replica: string;
  missingTokens: number;
  memoryTokens: number;
  /** Absent where the answer is no stream. */
  pauseTarget?: Milliseconds;
  isAnswering: boolean;
  /** The prompt's parts, which the engine will keep. */
  prompt?: Prompt;
}

/** What a choice of a replica depends on. */
export type PlacementCriteria = Pick<
  PlacementRequest,
  'service' | 'rank' | 'latencyTarget' | 'pauseTarget' | 'prompt'
>;

/** What a daemon asks the one that chooses for a group of replicas. */
export interface PlacementQuery {
  /** Names the attempt among those of the daemon that asks. */
  key: string;
  wish: PlacementCriteria;
  /** Of the daemon that asks; empty where zones don't matter. */
  availabilityZone: string;
  /** Replicas that are not to be chosen. */
  tried: string[];
}

/** Where a placer sends another daemon's attempt, and what it expects there. */
export interface Placement {
  replica: string;
  expected: Milliseconds;
  missingTokens: number;
  tokensAhead: number;
  copyTime: Milliseconds;
  /** The replica to copy from, and how many tokens. */
  fetchFrom?: string;
  fetchTokens?: number;
}

/** The answer; the placer counts the attempt as under way from then on. */
export interface PlacementResponse {
  key: string;
  /** Absent where no replica of the group will do. */
  placement?: Placement;
}

/** How an attempt ended, for the daemon that chooses for its replica. */
export interface SharedAttemptResult {
  end: AttemptEnd;
  /** From the send to the end. */
  after: Milliseconds;
}

/** A request that is rejected because it crashes replicas. */
export interface QuarantinedRequest {
  fingerprint: string;
  /** Time until it is accepted again. */
  remaining: Milliseconds;
  /** IDs of replicas that crashed with it under way; may be incomplete. */
  replicas: string[];
}

/** The request rate limit stated in a replica's answer. */
export type StatedLimit =
  | { kind: 'rate'; perSecond: number }
  /** The stated limit cannot be parsed. */
  | { kind: 'invalid'; text: string };

/** A replica's limit as exchanged between daemons. */
export interface SharedLimit {
  replica: string;
  /** Requests per second from all daemons together; undefined if the limit was lifted. */
  perSecond: number | undefined;
  /** Time since the replica's answer that stated or lifted the limit. */
  age: Milliseconds;
}

/** What one daemon tells the others. */
export type PlacementUpdate =
  | { kind: 'placed'; attempt: SharedAttempt }
  /** The engine has read the prompt. */
  | { kind: 'first-byte-received'; key: string }
  /** `result` is absent where the attempt says nothing of its replica. */
  | { kind: 'ended'; key: string; result?: SharedAttemptResult }
  | { kind: 'ask'; query: PlacementQuery }
  | { kind: 'reply'; response: PlacementResponse }
  /** An attempt broke at a replica. */
  | { kind: 'attempt-broken'; replica: string }
  /** Requests that were under way at a replica when it crashed. */
  | { kind: 'crashed'; replica: string; fingerprints: string[] }
  /** A request that was under way at crashes has been served by a replica that kept running. */
  | { kind: 'cleared'; fingerprint: string }
  | { kind: 'quarantined'; requests: QuarantinedRequest[] }
  | { kind: 'limits'; limits: SharedLimit[] }
  /** All that is under way; what was told before is forgotten. */
  | { kind: 'attempt-list'; attempts: SharedAttempt[] };

/** @public */
export type PlacementMessage =
  | { kind: 'services'; services: readonly RelayService[] }
  | { kind: 'replicas'; replicas: readonly RelayReplica[] }
  | { kind: 'submit'; request: PlacementRequest }
  | { kind: 'caller-left'; id: string }
  /** The first byte of an answer came. */
  | { kind: 'first-byte-received'; id: string; attempt: number }
  | { kind: 'attempt-ended'; id: string; attempt: number; end: AttemptEnd }
  | { kind: 'load'; replica: string; report: LoadReport }
  /** The limit stated in a replica's answer; undefined if it states none. */
  | { kind: 'limit'; replica: string; sentAt: Milliseconds; limit: StatedLimit | undefined }
  /** How many daemons there are, this one included. */
  | { kind: 'daemons'; count: number }
  /** The daemons that are heard, this one included. */
  | { kind: 'fleet'; self: string; daemons: readonly string[] }
  | { kind: 'peer-update'; peer: string; update: PlacementUpdate }
  /** Nothing was heard of another daemon for long. */
  | { kind: 'peer-removed'; peer: string }
  /** A replica proved, or failed to prove, that it works. */
  | { kind: 'health'; replica: string; isHealthy: boolean }
  /** What came of the question whether an engine lives. */
  | { kind: 'liveness-checked'; replica: string; isAlive: boolean }
  /** Whether a replica with broken attempts accepts connections; undefined if inconclusive. */
  | { kind: 'probed'; replica: string; isUp: boolean | undefined }
  /** Quarantined requests read from the store. */
  | { kind: 'quarantine'; requests: readonly QuarantinedRequest[] }
  /** A replica refuses, or says by other means, since it is about to leave. */
  | { kind: 'leaving'; replica: string }
  | { kind: 'cache-changed'; replica: string; changes: readonly CacheChange[] }
  /** All that an engine holds; what was believed before is forgotten. */
  | { kind: 'cache-listed'; replica: string; changes: readonly CacheChange[] }
  /** What an engine holds is unknown from here on. */
  | { kind: 'cache-lost'; replica: string };

/** @public */
export type PlacementEffect =
  | { kind: 'send'; id: string; attempt: number; replica: RelayReplica; choice: Choice }
  | { kind: 'cancel'; id: string; attempt: number; reason: CancelReason }
  | {
      kind: 'give-up';
      id: string;
      outcome: Outcome;
      reason: GiveUpReason;
      /** When to ask again makes sense; absent where it doesn't. */
      retryAfter?: Milliseconds;
    }
  /** The answer of this attempt is final, also where it is a failure. */
  | { kind: 'settle'; id: string; attempt: number }
  /** For the other daemons, or for one of them. */
  | { kind: 'share'; update: PlacementUpdate; to?: string }
  /** A replica was chosen for another daemon's attempt. */
  | { kind: 'placed-for'; peer: string; key: string; replica: RelayReplica; choice: Choice }
  /** A placer gave no answer in time; it isn't asked for a while. */
  | { kind: 'placer-silent'; peer: string; span: Milliseconds }
  /** The engines whose caches this daemon needs to know; absent for all. */
  | { kind: 'follow-caches'; engines?: ReadonlySet<string> }
  /** Nothing comes from an engine: it is to be asked whether it lives. */
  | { kind: 'check-liveness'; replica: RelayReplica }
  /** Attempts at a replica broke: check whether it still accepts connections. */
  | { kind: 'probe'; replica: RelayReplica }
  /** A replica crashed with these requests of this daemon under way. */
  | { kind: 'crashed'; replica: string; fingerprints: readonly string[] }
  /** A request has been quarantined; `isOwn` if this daemon reports it to the others. */
  | { kind: 'quarantined'; request: QuarantinedRequest; isOwn: boolean }
  /** A replica served a quarantined request, which ends its quarantine; `isOwn` as above. */
  | { kind: 'released'; fingerprint: string; isOwn: boolean }
  /** The limit of a replica, in requests per second, is new or has changed. */
  | { kind: 'limited'; replica: string; perSecond: number; previous: number | undefined }
  | { kind: 'unlimited'; replica: string }
  /** A replica states a limit that cannot be parsed. */
  | { kind: 'limit-refused'; replica: string; text: string }
  | { kind: 'suspect'; replica: RelayReplica; reason: string }
  | { kind: 'mark-healthy'; replica: RelayReplica }
  /** Too many attempts of all daemons broke there: for a while it gets nothing. */
  | { kind: 'start-cooldown'; replica: RelayReplica; span: Milliseconds };

/** Why an attempt is cancelled. */
export enum CancelReason {
  CallerLeft = 'caller-left',
  Deadline = 'deadline',
  /** The replica gave no sign for too long, and the request may run elsewhere. */
  Silent = 'silent',
  /** The request is quarantined because it crashes replicas. */
  Quarantined = 'quarantined',
}

/** What a choice of an engine makes of pauses between events, for the log. */
export interface PauseEstimate {
  /** Tokens a millisecond that the engine is believed to read. */
  readRate: number;
  /** How long it may read without a break for the request's pauses; absent where it always may. */
  slack?: Milliseconds;
  /** The part of its time that it spent on reading lately. */
  readingShare: number;
  /** Streams of others that are expected to pause too long for the choice. */
  harmed: number;
}

/** The inputs of a choice, for the log. */
export interface Choice {
  /** What the choice weighs: the expected wait, and what it costs others. */
  cost: Milliseconds;
  /** From the send to the first byte. */
  expected: Milliseconds;
  /** Prompt tokens that the engine would have to read. */
  missingTokens: number;
  /** The same with those of others that it reads before. */
  tokensAhead: number;
  /** Whether these are known, and not guessed of an engine that was never heard. */
  isTelling: boolean;
  /** What copying takes. */
  copyTime: Milliseconds;
  /** The replica from which it is to copy what it lacks of the prompt. */
  fetchFrom?: RelayReplica;
  /** Tokens that it would copy. */
  fetchTokens?: number;
  /** Present where the request has a prompt. */
  pauses?: PauseEstimate;
  /** The daemon that chose, where it was another, and what its answer took. */
  placer?: { daemon: string; key: string; waited: Milliseconds };
  /** Requests that are under way there, as far as this daemon is told. */
  inFlight: number;
  /** The replica's last report. */
  reported?: LoadReport;
  /** Age of that report. */
  reportAge?: Milliseconds;
  /** The next best. */
  runnerUp?: { replica: string; cost: Milliseconds };
}
