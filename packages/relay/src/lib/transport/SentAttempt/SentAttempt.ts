import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { RelayReplica } from '../../config/RelayConfiguration.js';
import { forwardingOptions } from '../../forwarding/forwardingOptions.js';
import { ForwardingResult, formatForwardedTarget } from '../../forwarding/forwardingProtocol.js';
import type { ForwarderTable } from '../../forwarding/ForwarderTable/ForwarderTable.js';
import type { RelayLog } from '../../observe/RelayEvent.js';
import type { RelayMetrics } from '../../observe/RelayMetrics.js';
import type { PathMonitor } from '../../paths/PathMonitor/PathMonitor.js';
import type { PeerEntry } from '../../peers/PeerDirectory.js';
import type {
  UpstreamConnection,
  UpstreamConnections,
} from '../../upstream/UpstreamConnections/UpstreamConnections.js';
import { RequestWithdrawnError } from '../../upstream/UpstreamExchange/RequestWithdrawnError.js';
import { UnsendableRequestError } from '../../upstream/UpstreamExchange/UnsendableRequestError.js';
import { UpstreamExchange } from '../../upstream/UpstreamExchange/UpstreamExchange.js';
import type {
  ExchangeCallbacks,
  ExchangeListener,
  ResponseHead,
} from '../../upstream/UpstreamExchange/UpstreamExchange.js';
import { ForwardedListener } from './ForwardedListener.js';
import { NoPathError } from './NoPathError.js';

function getError(error: unknown): Error {
  return error instanceof Error ? error : new Error(String(error));
}

/** An attempt to be sent to a replica. */
export interface OutgoingAttempt {
  id: string;
  attempt: number;
  replica: RelayReplica;
  method: string;
  /** Path and query. */
  target: string;
  /** Creates the headers for the replica; some of them depend on the time. */
  createHeaders: () => string[];
  body: Buffer | undefined;
  listener: ExchangeListener;
  /** Called immediately before the first byte is sent. */
  maySend: () => boolean;
  /** Called if the listener throws, after which it is not called again. */
  onFault: (error: unknown) => void;
}

/** Dependencies of {@link SentAttempt}. */
export interface TransportParts {
  clock: Clock;
  log: RelayLog;
  metrics: RelayMetrics;
  /** Connections to replicas. */
  connections: UpstreamConnections;
  /** Connections to other daemons. */
  forwarderConnections: UpstreamConnections<PeerEntry>;
  paths: PathMonitor;
  /** Whether a response that ended with the connection to its replica is complete. */
  confirmEnd: (replica: RelayReplica, head: ResponseHead) => Promise<boolean>;
  forwarders: ForwarderTable;
}

/**
 * One attempt on its way to a replica: directly, or through another daemon if this daemon does not reach
 * the replica. It moves on to another way only while nothing of the request can have reached the replica.
 */
export class SentAttempt implements ExchangeListener {
  private exchange: UpstreamExchange | undefined;

  private isAborted = false;

  /** Whether it is sent over a connection of this daemon to the replica. */
  private isDirect = true;

  /** When it was last sent, or when the replica last sent something. */
  private activeAt: Milliseconds;

  private isConnecting = true;

  private readonly triedForwarders = new Set<string>();

  private unreachableReports = 0;

  /** @param onFinished - called when the attempt has ended or was aborted */
  constructor(
    private readonly parts: TransportParts,
    private readonly attempt: OutgoingAttempt,
    private readonly onFinished: () => void,
  ) {
    this.activeAt = parts.clock.now();
  }

  get replica(): RelayReplica {
    return this.attempt.replica;
  }

  /** Time since the replica last sent something over a direct connection; 0 if there is none. */
  getDirectSilence(now: Milliseconds): Milliseconds {
    return this.isDirect && !this.isConnecting ? now - this.activeAt : 0;
  }

  get isCutOff(): boolean {
    return this.attempt.listener.isCutOff ?? false;
  }

  start(): void {
    const { connections, paths } = this.parts;
    const { replica } = this.attempt;
    if (paths.isLost(replica.id) && !connections.hasIdle(replica.id)) {
      this.forward(undefined);
    } else {
      this.sendDirectly();
    }
  }

  abort(): void {
    this.isAborted = true;
    this.exchange?.abort();
    this.onFinished();
  }

  pause(): void {
    this.exchange?.pause();
  }

  resume(): void {
    this.exchange?.resume();
  }

  onHead(head: ResponseHead): void {
    this.recordContact();
    this.attempt.listener.onHead(head);
  }

  onBody(bytes: Buffer): void {
    this.recordContact();
    this.attempt.listener.onBody(bytes);
  }

  onEnd(): void {
    this.recordContact();
    this.onFinished();
    this.attempt.listener.onEnd();
  }

  /** Handles the error of a direct connection. */
  onError(error: Error, isSent: boolean): void {
    const mayForward =
      !isSent &&
      !(error instanceof RequestWithdrawnError) &&
      !(error instanceof UnsendableRequestError) &&
      this.parts.paths.isDoubtful(this.replica, error);
    if (mayForward && !this.isAborted) {
      this.forward(error);
    } else {
      this.fail(error, isSent);
    }
  }

  private recordContact(): void {
    this.activeAt = this.parts.clock.now();
    if (this.isDirect) {
      this.parts.paths.recordContact(this.replica.id);
    }
  }

  private fail(error: Error, isSent: boolean): void {
    this.onFinished();
    this.attempt.listener.onError(error, isSent);
  }

  private sendDirectly(): void {
    const { clock, confirmEnd, connections } = this.parts;
    const { replica, target } = this.attempt;
    let connection: UpstreamConnection;
    try {
      connection = connections.acquire(replica);
    } catch (error) {
      this.failUnsent(getError(error));
      return;
    }
    this.run(new UpstreamExchange(clock, this), connection, target, {
      onReleased: () => connections.release(replica, connection),
      confirmEnd: (head) => confirmEnd(replica, head),
    });
  }

  /** @param cause - why the attempt could not be sent directly; undefined if that was not tried */
  private forward(cause: Error | undefined): void {
    const { clock, forwarderConnections, forwarders, log, metrics } = this.parts;
    const { id, attempt, replica, target } = this.attempt;
    const hasTries = this.triedForwarders.size < forwardingOptions.maxTries;
    const forwarder = hasTries ? forwarders.choose(this.triedForwarders) : undefined;
    if (forwarder === undefined) {
      this.failUnsent(cause);
      return;
    }
    this.isDirect = false;
    this.triedForwarders.add(forwarder.id);
    log({
      event: 'attempt-forwarded',
      id,
      attempt,
      replica: replica.id,
      forwarder: forwarder.id,
      cause: cause?.message,
    });
    let connection: UpstreamConnection;
    try {
      connection = forwarderConnections.acquire(forwarder);
    } catch (error) {
      // The core, whose decision this attempt carries out, must not be called back before it returns.
      queueMicrotask(() => this.handleForwarderFailure(forwarder, getError(error), cause));
      return;
    }
    metrics.forwardedAttempts.inc({ service: replica.service });
    forwarders.recordStart(forwarder.id);
    const listener = new ForwardedListener(
      { ...this.asReplicaListener() },
      {
        onReached: () => this.handleReached(cause),
        onRefused: (result) => this.handleRefusal(forwarder, result, cause),
        onForwarderUnreachable: (error) => this.handleForwarderFailure(forwarder, error, cause),
      },
    );
    const forwardedTarget = formatForwardedTarget({ replica: replica.id, target });
    this.run(new UpstreamExchange(clock, listener), connection, forwardedTarget, {
      onReleased: () => {
        forwarders.recordEnd(forwarder.id);
        forwarderConnections.release(forwarder, connection);
      },
      // A forwarder that is killed ends its connections in order, too.
      confirmEnd: () => Promise.resolve(false),
    });
  }

  private asReplicaListener(): ExchangeListener {
    return {
      onHead: (head) => this.onHead(head),
      onBody: (bytes) => this.onBody(bytes),
      onEnd: () => this.onEnd(),
      onError: (error, isSent) => this.fail(error, isSent),
    };
  }

  private run(
    exchange: UpstreamExchange,
    connection: UpstreamConnection,
    target: string,
    callbacks: Pick<ExchangeCallbacks, 'onReleased' | 'confirmEnd'>,
  ): void {
    const { createHeaders, method, body, maySend } = this.attempt;
    this.exchange = exchange;
    this.isConnecting = true;
    this.activeAt = this.parts.clock.now();
    exchange.run(
      connection,
      { method, target, rawHeaders: createHeaders(), body },
      {
        maySend: () => {
          this.isConnecting = false;
          this.activeAt = this.parts.clock.now();
          return maySend();
        },
        ...callbacks,
        onFault: (error) => {
          this.onFinished();
          this.attempt.onFault(error);
        },
      },
    );
  }

  /** The replica has responded through another daemon, so that only the path of this one is at fault. */
  private handleReached(cause: Error | undefined): void {
    const { log, paths } = this.parts;
    if (cause !== undefined) {
      paths.recordReachedByPeer(this.replica, cause).catch((error: unknown) => {
        log({ event: 'fault', step: 'check a path', error: String(error) });
      });
    }
  }

  private handleRefusal(
    forwarder: PeerEntry,
    result: ForwardingResult | undefined,
    cause: Error | undefined,
  ): void {
    const { forwarders, log } = this.parts;
    const { id, attempt } = this.attempt;
    log({ event: 'forwarder-refused', id, attempt, forwarder: forwarder.id, result });
    if (this.isAborted) {
      return;
    }
    switch (result) {
      case ForwardingResult.Withdrawn:
        this.fail(new RequestWithdrawnError(), false);
        return;
      case ForwardingResult.Unreachable:
        this.unreachableReports += 1;
        if (this.unreachableReports >= forwardingOptions.unreachableReports) {
          this.failUnsent(cause);
          return;
        }
        break;
      case ForwardingResult.Isolated:
        forwarders.recordIsolation(forwarder.id, true);
        break;
      case ForwardingResult.UnknownReplica:
        // Lists of replicas arrive at different times; the peer may well reach the others.
        break;
      default:
        forwarders.recordFailure(forwarder.id);
    }
    this.forward(cause);
  }

  private handleForwarderFailure(
    forwarder: PeerEntry,
    error: Error,
    cause: Error | undefined,
  ): void {
    const { forwarders, log } = this.parts;
    const { id, attempt } = this.attempt;
    log({ event: 'forwarder-failed', id, attempt, forwarder: forwarder.id, error: error.message });
    forwarders.recordFailure(forwarder.id);
    if (!this.isAborted) {
      this.forward(cause);
    }
  }

  /** Ends an attempt of which nothing was sent. */
  private failUnsent(cause: Error | undefined): void {
    const isConfirmed = this.unreachableReports > 0;
    const isLost = this.parts.paths.isLost(this.replica.id);
    const error =
      isLost && !isConfirmed
        ? new NoPathError(cause)
        : (cause ?? new Error('no other daemon reaches the replica'));
    // The core, whose decision this attempt carries out, must not be called back before it returns.
    queueMicrotask(() => {
      if (!this.isAborted) {
        this.fail(error, false);
      }
    });
  }
}
