import type { Replica, ServiceClass } from '@apricotrill/model';
import type { Milliseconds } from '@apricotrill/utils';

/**
 * The messages of the scheduler: what the sockets around it tell it, and what it tells them to do.
 * The daemon, the fuzz tests and the experiment all speak these and nothing else.
 */

/** What a refused or broken request is known to have done. */
export enum ExecutionOutcome {
  /** Proof: no byte of the request left the daemon, or the replica refused it by a documented answer. */
  NotRun = 'not-run',
  /** The request may have run; nobody can tell. */
  Unknown = 'unknown',
  /** The request ran and did not give a whole answer. */
  Failed = 'failed',
}

/** How one attempt at a replica ended. */
export enum AttemptStatus {
  /** The whole answer came. */
  Completed = 'completed',
  /** No byte left the daemon: the connection was refused or timed out. */
  NotSent = 'not-sent',
  /** The replica refused by a documented answer and did not run it. */
  Refused = 'refused',
  /** The connection broke, or the answer was not whole, after the request may have run. */
  Broken = 'broken',
  /** The replica answered with an error of its own: the request ran and failed. */
  Errored = 'errored',
  /** The scheduler cancelled it. */
  Cancelled = 'cancelled',
}

/**
 * A request as the scheduler sees it.
 *
 * @public
 */
export interface ScheduledRequest {
  /** Unique over all daemons and time. */
  id: string;
  service: string;
  /** The model asked for; absent for plain services. */
  model?: string;
  workspace: string;
  workspaceWeight: number;
  serviceClass: ServiceClass;
  /** Hash of the prompt's head, for prefix affinity; absent for plain services. */
  prefixHash?: number;
  /** Whether a broken attempt may go on elsewhere at the delivered token. */
  resumable: boolean;
  arrivedAt: Milliseconds;
}

/**
 * A replica's own word on its load, as old as `measuredAt` says.
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
 * What happens around the scheduler.
 *
 * @public
 */
export type SchedulerMessage =
  | { kind: 'submit'; request: ScheduledRequest }
  | { kind: 'caller-left'; id: string }
  /**
   * This many further tokens (or, for a plain answer, its head as one) were handed to the caller by
   * this attempt since its last such message.
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
  /** Word (a refusal, a report, the list, a peer) that a replica is leaving. */
  | { kind: 'replica-leaving'; replica: string }
  /** Word that a replica which was leaving is taking work again. */
  | { kind: 'replica-returned'; replica: string }
  /** A pooled connection to the replica went silent; condemns the path, not the server. */
  | { kind: 'path-silent'; replica: string }
  /** The ids of all live daemons, this one among them: shared limits are divided by them. */
  | { kind: 'daemons'; self: string; daemons: string[] }
  /** Stop admitting; everything in flight goes on to its end. */
  | { kind: 'drain' };

/**
 * What the scheduler wants done.
 *
 * @public
 */
export type SchedulerEffect =
  | {
      kind: 'dispatch';
      id: string;
      attempt: number;
      replica: Replica;
      /** Tokens already delivered: the attempt goes on after them. */
      resumeAt: number;
      /** Silence allowed until the first token, and between tokens. */
      firstTokenTimeout: Milliseconds;
      tokenGapTimeout: Milliseconds;
      /** The priority given to the engine; the tier of the request's class when absent. */
      priority?: number;
      reason: string;
    }
  | { kind: 'cancel'; id: string; attempt: number; replica: string; reason: CancelReason }
  | {
      kind: 'give-up';
      id: string;
      outcome: ExecutionOutcome;
      reason: GiveUpReason;
      /** When asking again makes sense. */
      retryAfter: Milliseconds;
    }
  /** The request is over; the caller has its whole answer. */
  | { kind: 'done'; id: string };

/** Why an attempt is cancelled upstream. */
export enum CancelReason {
  CallerLeft = 'caller-left',
  Preempted = 'preempted',
  Silent = 'silent',
  Straggling = 'straggling',
}

/** Why a request is given up. */
export enum GiveUpReason {
  /** It can no longer meet its deadline. */
  Deadline = 'deadline',
  /** The queue of its class is full. */
  Overload = 'overload',
  /** No replica of the service is live. */
  NoReplica = 'no-replica',
  /** The service's retry budget is spent. */
  RetriesSpent = 'retries-spent',
  /** It may not be repeated, and the last attempt may have run. */
  MayHaveRun = 'may-have-run',
  /** The replica ran it and failed. */
  ReplicaFailed = 'replica-failed',
  /** This daemon is shutting down and takes no new requests. */
  Draining = 'draining',
}
