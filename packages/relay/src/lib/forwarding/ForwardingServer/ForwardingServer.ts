import { abortResponse, readBody } from '@apricotrill/callers';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { RelayReplica } from '../../config/RelayConfiguration.js';
import { getErrorText } from '../../observe/getErrorText.js';
import type { RelayLog } from '../../observe/RelayEvent.js';
import type { RelayMetrics } from '../../observe/RelayMetrics.js';
import { getEndToEndHeaders } from '../../protocol/connectionHeaders.js';
import { HeldBytes } from '../../memory/HeldBytes/HeldBytes.js';
import type { Holding } from '../../memory/HeldBytes/Holding.js';
import { getAnnouncedBytes } from '../../memory/getAnnouncedBytes.js';
import { getHeadHeapBytes } from '../../memory/getHeadHeapBytes.js';
import type { MemoryGuard } from '../../memory/MemoryGuard/MemoryGuard.js';
import type { ReplicaNotice, RelayProtocol } from '../../protocol/RelayProtocol.js';
import type { UpstreamConnections } from '../../upstream/UpstreamConnections/UpstreamConnections.js';
import { UpstreamExchange } from '../../upstream/UpstreamExchange/UpstreamExchange.js';
import type { ResponseHead } from '../../upstream/UpstreamExchange/UpstreamExchange.js';
import { forwardingOptions } from '../forwardingOptions.js';
import { ForwardingResult, parseForwardedTarget } from '../forwardingProtocol.js';
import type { ForwardedTarget } from '../forwardingProtocol.js';
import { ForwardedExchange, writeForwardingResult } from './ForwardedExchange.js';

/** Dependencies of {@link ForwardingServer}. */
export interface ForwardingServerParts {
  clock: Clock;
  log: RelayLog;
  metrics: RelayMetrics;
  protocol: RelayProtocol;
  /** Absent if what is held is neither counted nor bounded. */
  memory?: MemoryGuard;
  connections: UpstreamConnections;
  /** Whether a response that ended with the connection to its replica is complete. */
  confirmEnd: (replica: RelayReplica, head: ResponseHead) => Promise<boolean>;
  findReplica: (id: string) => RelayReplica | undefined;
  /** Whether a request may be sent to a replica, by what the replica announced to this daemon. */
  maySend: (replica: string) => boolean;
  /** Maximum size of a body. */
  getMaxBodyBytes: () => number | undefined;
  /** Whether this daemon reaches no replicas itself. */
  isIsolated: () => boolean;
  isStopping: () => boolean;
  /** Called with what a response announces about its replica. */
  onNotice: (replica: RelayReplica, source: string, notice: ReplicaNotice) => void;
}

/** A request that is being forwarded. */
interface ForwardedRequest extends ForwardedTarget {
  request: IncomingMessage;
  response: ServerResponse;
  startedAt: Milliseconds;
  holding: Holding;
}

/**
 * Sends attempts of other daemons, which don't reach a replica themselves, over the connections of this
 * daemon. The other daemon has chosen the replica and decides on everything that follows. An attempt is
 * sent once and directly: it never goes through a third daemon.
 */
export class ForwardingServer {
  private open = 0;

  constructor(private readonly parts: ForwardingServerParts) {}

  /** Number of attempts that are being forwarded. */
  get inFlight(): number {
    return this.open;
  }

  /** Handles the requests below the forwarding path. */
  readonly handler = (request: IncomingMessage, response: ServerResponse): void => {
    const target = parseForwardedTarget(request.url ?? '');
    const startedAt = this.parts.clock.now();
    const refusal = this.getRefusal(target);
    if (target === undefined || refusal !== undefined) {
      const result = refusal ?? ForwardingResult.Malformed;
      this.refuse(target, { request, response, startedAt }, result);
      return;
    }
    const holding = this.reserve(request);
    if (holding === undefined) {
      this.refuse(target, { request, response, startedAt }, ForwardingResult.Busy);
      return;
    }
    response.once('close', () => holding.release());
    this.open += 1;
    const forwarded = { ...target, request, response, startedAt, holding };
    this.forward(forwarded).catch((error: unknown) => {
      this.parts.log({ event: 'fault', step: 'forward an attempt', error: getErrorText(error) });
      this.open -= 1;
      this.recordEnd(target, startedAt, ForwardingResult.Broken, String(error));
      abortResponse(response);
    });
  };

  private refuse(
    target: ForwardedTarget | undefined,
    { request, response, startedAt }: Pick<ForwardedRequest, 'request' | 'response' | 'startedAt'>,
    result: ForwardingResult,
  ): void {
    request.resume();
    writeForwardingResult(response, result);
    this.recordEnd(target, startedAt, result, undefined);
  }

  /** The other daemon has taken the request on, so that it counts as urgent here. */
  private reserve(request: IncomingMessage): Holding | undefined {
    const maxBytes = this.parts.getMaxBodyBytes() ?? forwardingOptions.maxBodyBytes;
    const bytes = getAnnouncedBytes(request, maxBytes);
    const headBytes = getHeadHeapBytes(request);
    const { memory } = this.parts;
    return memory === undefined
      ? new HeldBytes().open()
      : memory.tryAdmit({ urgency: 1, bytes, headBytes });
  }

  private getRefusal(target: ForwardedTarget | undefined): ForwardingResult | undefined {
    const { findReplica, isIsolated, isStopping, maySend } = this.parts;
    if (target === undefined) {
      return ForwardingResult.Malformed;
    }
    if (isStopping()) {
      return ForwardingResult.Stopping;
    }
    if (isIsolated()) {
      return ForwardingResult.Isolated;
    }
    if (this.open >= forwardingOptions.maxForwarded) {
      return ForwardingResult.Busy;
    }
    if (findReplica(target.replica) === undefined) {
      return ForwardingResult.UnknownReplica;
    }
    return maySend(target.replica) ? undefined : ForwardingResult.Withdrawn;
  }

  private async forward(forwarded: ForwardedRequest): Promise<void> {
    const {
      clock,
      confirmEnd,
      connections,
      findReplica,
      getMaxBodyBytes,
      maySend,
      onNotice,
      protocol,
    } = this.parts;
    const { request, response, replica: id, target, startedAt } = forwarded;
    const end = (result: ForwardingResult, detail: string | undefined) => {
      this.open -= 1;
      this.recordEnd(forwarded, startedAt, result, detail);
    };
    const maxBytes = getMaxBodyBytes() ?? forwardingOptions.maxBodyBytes;
    const limits = { maxBytes, timeout: forwardingOptions.bodyTimeout };
    const result = await readBody(request, limits, clock);
    const replica = findReplica(id);
    if (result.kind !== 'whole' || replica === undefined || response.destroyed) {
      writeForwardingResult(response, ForwardingResult.Malformed);
      end(ForwardingResult.Malformed, result.kind);
      return;
    }
    const connection = connections.acquire(replica);
    const forwardedExchange = new ForwardedExchange(response, {
      holding: forwarded.holding,
      onHead: (head) => onNotice(replica, 'forwarded response', protocol.readResponse(head)),
      onEnd: end,
    });
    const exchange = new UpstreamExchange(clock, forwardedExchange);
    forwardedExchange.exchange = exchange;
    const rawHeaders = getEndToEndHeaders(request.rawHeaders);
    exchange.run(
      connection,
      { method: request.method ?? 'GET', target, rawHeaders, body: result.body },
      {
        maySend: () => maySend(id),
        onReleased: () => connections.release(replica, connection),
        confirmEnd: (head) => confirmEnd(replica, head),
        onFault: (error) => forwardedExchange.fail(error),
      },
    );
  }

  private recordEnd(
    target: ForwardedTarget | undefined,
    startedAt: Milliseconds,
    result: ForwardingResult,
    detail: string | undefined,
  ): void {
    const { clock, log, metrics } = this.parts;
    const replica = target?.replica ?? '';
    metrics.forwardedForPeers.inc({ result });
    log({ event: 'forwarded', replica, result, after: clock.now() - startedAt, detail });
  }
}
