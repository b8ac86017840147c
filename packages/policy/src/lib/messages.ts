import type { Replica, ServiceClass } from '@apricotrill/model';
import type { Milliseconds } from '@apricotrill/utils';

/**
 * The messages of the scheduler: its inputs from the network code, and the effects that it
 * requests. The daemon, the fuzz tests and the experiment use only these messages.
 */

/** Whether a request that did not succeed is known to have run. */
export enum ExecutionOutcome {
  /**
   * Certainly not run: no byte of the request left the daemon, or the replica refused it with a
   * documented response.
   */
  NotRun = 'not-run',
  /** The request may have run; this cannot be determined. */
  Unknown = 'unknown',
  /** The request ran without producing a complete response. */
  Failed = 'failed',
}

/** How one attempt at a replica ended. */
export enum AttemptStatus {
  /** The complete response was received. */
  Completed = 'completed',
  /** No byte left the daemon: the connection was refused or timed out. */
  NotSent = 'not-sent',
  /** The replica refused the request with a documented response and did not run it. */
  Refused = 'refused',
  /** The connection broke, or the response was incomplete, after the request may have run. */
  Broken = 'broken',
  /** The replica responded with an error of its own: the request ran and failed. */
  Errored = 'errored',
  /** The scheduler cancelled the attempt. */
  Cancelled = 'cancelled',
}

/**
 * A request as the scheduler sees it.
 *
 * @public
 */
export interface ScheduledRequest {
  /** Unique across all daemons and over time. */
  id: string;
  service: string;
  /** The requested model; absent for plain services. */
  model?: string;
  workspace: string;
  workspaceWeight: number;
  serviceClass: ServiceClass;
  /** Hash of the beginning of the prompt, for prefix affinity; absent for plain services. */
  prefixHash?: number;
  /** Whether another replica may continue a broken attempt after the last delivered token. */
  resumable: boolean;
  arrivedAt: Milliseconds;
}

/**
 * The load of a replica at `measuredAt`, as reported by the replica itself.
 *
 * @public
 */
export interface LoadReport {
  replica: string;
  running: number;
  waiting: number;
  measuredAt: Milliseconds;
}

/**
 * An input of the scheduler.
 *
 * @public
 */
export type SchedulerMessage =
  | { kind: 'submit'; request: ScheduledRequest }
  | { kind: 'caller-left'; id: string }
  /**
   * The number of tokens that this attempt delivered to the caller since its previous `progress`
   * message. The head of a plain response counts as one token.
   */
  | { kind: 'progress'; id: string; attempt: number; tokens: number }
  | {
      kind: 'attempt-ended';
      id: string;
      attempt: number;
      end: AttemptStatus;
      retryAfter?: Milliseconds;
    }
  | { kind: 'load-report'; report: LoadReport }
  | { kind: 'replicas'; replicas: Replica[] }
  /** A replica is leaving, according to a refusal, a report, the list of replicas or a peer. */
  | { kind: 'replica-leaving'; replica: string }
  /** A replica that was leaving accepts work again. */
  | { kind: 'replica-returned'; replica: string }
  /** A pooled connection to the replica stopped responding; the replica itself may be healthy. */
  | { kind: 'path-silent'; replica: string }
  /** The ids of all live daemons, including this one; shared limits are divided among them. */
  | { kind: 'daemons'; self: string; daemons: string[] }
  /** Admit no further requests; requests in flight run to completion. */
  | { kind: 'drain' };

/**
 * An action that the scheduler requests.
 *
 * @public
 */
export type SchedulerEffect =
  | {
      kind: 'dispatch';
      id: string;
      attempt: number;
      replica: Replica;
      /** The number of tokens already delivered; the attempt continues after them. */
      resumeAt: number;
      /** Timeouts for the first token and for each further token. */
      firstTokenTimeout: Milliseconds;
      tokenGapTimeout: Milliseconds;
      /** The priority sent to the engine; the tier of the request's class if absent. */
      priority?: number;
      reason: string;
    }
  | { kind: 'cancel'; id: string; attempt: number; replica: string; reason: CancelReason }
  | {
      kind: 'give-up';
      id: string;
      outcome: ExecutionOutcome;
      reason: GiveUpReason;
      /** How long the caller should wait before a retry. */
      retryAfter: Milliseconds;
    }
  /** The request is finished; the caller has the complete response. */
  | { kind: 'done'; id: string };

/** Why an attempt is cancelled at its replica. */
export enum CancelReason {
  CallerLeft = 'caller-left',
  Preempted = 'preempted',
  Silent = 'silent',
  Straggling = 'straggling',
}

/** Why a request is given up. */
export enum GiveUpReason {
  /** The request can no longer meet its deadline. */
  Deadline = 'deadline',
  /** The queue of its class is full. */
  Overload = 'overload',
  /** No replica of the service is available. */
  NoReplica = 'no-replica',
  /** The retry budget of the service is exhausted. */
  RetriesSpent = 'retries-spent',
  /** The request may not be repeated, and its last attempt may have run. */
  MayHaveRun = 'may-have-run',
  /** The replica ran the request and failed. */
  ReplicaFailed = 'replica-failed',
  /** This daemon is shutting down and accepts no new requests. */
  Draining = 'draining',
}
