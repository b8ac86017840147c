import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { ServerResponse } from 'node:http';
import { RouteKind } from '../config/RelayConfiguration.js';
import { AttemptEnd, GiveUpReason, Outcome } from '../decide/messages.js';
import type { PlacementEffect, PlacementMessage, PlacementRequest } from '../decide/messages.js';
import type { EndedAttempt } from '../duties/RunStarts/RunStarts.js';
import type { RelayLog } from '../observe/RelayEvent.js';
import type { RelayMetrics } from '../observe/RelayMetrics.js';
import { getEndToEndHeaders } from '../protocol/connectionHeaders.js';
import type { ResponseFields, RelayProtocol } from '../protocol/RelayProtocol.js';
import type { StreamEvent } from '../upstream/EventSplitter/EventSplitter.js';
import type { UpstreamConnections } from '../upstream/UpstreamConnections/UpstreamConnections.js';
import { UpstreamExchange } from '../upstream/UpstreamExchange/UpstreamExchange.js';
import type { ResponseHead } from '../upstream/UpstreamExchange/UpstreamExchange.js';
import { AnswerReader } from './AnswerReader.js';
import type { AnswerListener, AttemptResult, WholeAnswer } from './AnswerReader.js';
import type { ReceivedRequest } from './ReceivedRequest.js';
import { writeRefusal } from './writeRefusal.js';

/** What a task is made of. */
export interface RelayTaskParts {
  request: ReceivedRequest;
  response: ServerResponse;
  protocol: RelayProtocol;
  connections: UpstreamConnections;
  clock: Clock;
  log: RelayLog;
  metrics: RelayMetrics;
  tell: (message: PlacementMessage) => void;
  /** An attempt was sent to a replica, with so many prompt tokens to read. */
  onSent: (service: string, tokens: number) => void;
  /**
   * An attempt that was sent is over.
   *
   * @returns when its replica began to run it; undefined where nothing shows that it did
   */
  onEnded: (attempt: EndedAttempt) => Milliseconds | undefined;
  /** A replica began to run the request, for the first time. */
  onRun: (workspace: string, at: Milliseconds) => void;
  /** The task is over. */
  onOver: () => void;
}

type Send = Extract<PlacementEffect, { kind: 'send' }>;
type GiveUp = Extract<PlacementEffect, { kind: 'give-up' }>;

interface RunningExchange {
  attempt: number;
  exchange: UpstreamExchange;
  startedAt: Milliseconds;
}

/** The length of a stream is not known where another replica may go on with it. */
const STREAM_DROPPED = new Set(['content-length']);

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Owns one request: the caller's side of it, and the attempt that is under way. What to do next is
 * told to it by the placement core; what happens it tells the core.
 */
export class RelayTask {
  private running: RunningExchange | undefined;

  /** The last attempt's answer, held until the core says that it is final. */
  private held: WholeAnswer | undefined;

  /** The last event that the caller has been given. */
  private lastEvent: string | undefined;

  private firstByteAt: Milliseconds | undefined;

  private lastEventAt: Milliseconds | undefined;

  private longestPause: Milliseconds | undefined;

  private attempts = 0;

  /** Whether a replica began to run it: a request counts once, however often it is run. */
  private hasRun = false;

  private replica = '';

  private isOver = false;

  constructor(private readonly parts: RelayTaskParts) {
    this.lastEvent = parts.request.fields.resumeAfter;
    parts.response.once('close', () => this.onCallerClosed());
  }

  /** What the core needs to know of the request. */
  get placementRequest(): PlacementRequest {
    const { request } = this.parts;
    const { route } = request;
    return {
      id: request.id,
      fingerprint: request.fingerprint,
      route: route.name,
      service: request.service,
      kind: route.kind,
      repeatable:
        route.kind === RouteKind.Idempotent || (route.kind === RouteKind.Stream && route.resumable),
      workspace: request.workspace?.name ?? '',
      rank: request.rank,
      maxAttempts: route.maxAttempts,
      latencyTarget: route.latencyTarget,
      pauseTarget: route.pauseTarget,
      deadline: request.deadline,
      arrivedAt: request.arrived,
      prompt: request.fields.prompt,
    };
  }

  /** Starts an attempt. */
  send(effect: Send): void {
    const { clock, connections, log, protocol, request } = this.parts;
    const { id, attempt, replica, choice } = effect;
    log({ event: 'sent', id, attempt, replica: replica.id, service: request.service, choice });
    this.attempts += 1;
    this.replica = replica.id;
    const startedAt = clock.now();
    this.noteWait(startedAt);
    const exchange: UpstreamExchange = new UpstreamExchange(
      clock,
      new AnswerReader({
        requestId: request.fields.requestId,
        isStream: request.route.kind === RouteKind.Stream,
        protocol,
        listener: this.createListener(effect, startedAt),
        stop: () => exchange.abort(),
      }),
    );
    this.running = { attempt, exchange, startedAt };
    this.parts.onSent(request.service, choice.missingTokens);
    const connection = connections.take(replica);
    const rawHeaders = protocol.getUpstreamHeaders(request.rawHeaders, {
      replica,
      workspace: request.workspace?.name,
      timeLeft: Math.max(1, Math.round(request.deadline - startedAt)),
      rank: request.rank,
      fetchFrom: choice.fetchFrom,
      resumeAfter: this.lastEvent,
    });
    exchange.run(
      connection,
      { method: request.method, target: request.target, rawHeaders, body: request.body },
      () => connections.giveBack(replica, connection),
    );
  }

  /** Ends an attempt; the core hears of its end unless the request is over. */
  cancel(effect: Extract<PlacementEffect, { kind: 'cancel' }>): void {
    const { id, attempt, reason } = effect;
    const { running } = this;
    if (running?.attempt !== attempt) {
      return;
    }
    this.parts.log({ event: 'cancelled', id, attempt, reason });
    this.noteEnded(running, AttemptEnd.Cancelled);
    this.running = undefined;
    running.exchange.abort();
    queueMicrotask(() => {
      this.parts.tell({ kind: 'attempt-ended', id, attempt, end: AttemptEnd.Cancelled });
    });
  }

  /** The last attempt's answer is final. */
  settle(): void {
    const { response } = this.parts;
    const { held } = this;
    if (held !== undefined) {
      const { head, body } = held;
      response.writeHead(head.status, getEndToEndHeaders(head.rawHeaders));
      response.end(body);
    } else {
      response.end();
    }
    this.noteAnswered(held?.head.status ?? response.statusCode);
    this.finish('answered', '');
  }

  /** No answer will come: says so at once, and whether the request can have run. */
  giveUp({ outcome, reason, retryAfter }: GiveUp): void {
    const { clock, log, request, response } = this.parts;
    const status = this.getStatus(outcome, reason);
    const after = clock.now() - request.arrived;
    log({ event: 'given-up', id: request.id, outcome, reason, status, retryAfter, after });
    this.finish(outcome, reason);
    if (response.headersSent) {
      // A stream that ends here must not look complete.
      response.destroy();
      return;
    }
    writeRefusal(response, { status, reason, outcome, retryAfter });
  }

  // eslint-disable-next-line class-methods-use-this
  private getStatus(outcome: Outcome, reason: GiveUpReason): number {
    switch (reason) {
      case GiveUpReason.Deadline:
        return 504;
      case GiveUpReason.NoReplica:
      case GiveUpReason.Refused:
      case GiveUpReason.Overload:
      case GiveUpReason.UnderReview:
        return outcome === Outcome.NotRun ? 503 : 502;
      case GiveUpReason.MayHaveRun:
        return 502;
      case GiveUpReason.Quarantined:
        // Never 503, which callers would retry.
        return 502;
      default:
        return reason satisfies never;
    }
  }

  private createListener(effect: Send, startedAt: Milliseconds): AnswerListener {
    const { attempt, replica } = effect;
    const isCurrent = () => this.running?.attempt === attempt;
    const ifCurrent = (act: () => void) => {
      if (isCurrent()) {
        act();
      }
    };
    return {
      onFields: (fields) => this.noteFields(replica.id, startedAt, fields),
      onFirstByte: () => ifCurrent(() => this.noteFirstByte(effect, startedAt)),
      onStream: (head) => ifCurrent(() => this.startStream(head)),
      onEvents: (events) => ifCurrent(() => this.writeEvents(events)),
      onRest: (bytes) => ifCurrent(() => this.write(bytes)),
      onResult: (result) => ifCurrent(() => this.endAttempt(effect, startedAt, result)),
    };
  }

  private noteWait(now: Milliseconds): void {
    const { metrics, request } = this.parts;
    if (this.attempts === 1) {
      const wait = (now - request.arrived) / MILLISECONDS_PER_SECOND;
      metrics.admissionWait.observe({ kind: request.route.kind }, wait);
    }
  }

  private noteFields(replica: string, sentAt: Milliseconds, fields: ResponseFields): void {
    const { request, tell } = this.parts;
    const { load, limit, requestId, isMisdirected, isSigned } = fields;
    if (load !== undefined) {
      tell({ kind: 'load', replica, report: load });
    }
    // The absence of a limit lifts it, so only a verified answer to this request may do that.
    const isOwnAnswer = isSigned && requestId === request.fields.requestId;
    if (!isMisdirected && (limit !== undefined || isOwnAnswer)) {
      tell({ kind: 'limit', replica, sentAt, limit });
    }
  }

  private noteFirstByte({ id, attempt, replica }: Send, startedAt: Milliseconds): void {
    const { clock, log, metrics, request, tell } = this.parts;
    const now = clock.now();
    this.firstByteAt ??= now;
    tell({ kind: 'first-byte-received', id, attempt });
    log({ event: 'first-byte', id, attempt, replica: replica.id, after: now - startedAt });
    metrics.firstByte.observe(
      { kind: request.route.kind },
      (now - request.arrived) / MILLISECONDS_PER_SECOND,
    );
  }

  private startStream(head: ResponseHead): void {
    const { clock, response } = this.parts;
    this.noteRun(clock.now());
    // A stream that goes on at another replica keeps the head of the first.
    if (!response.headersSent) {
      response.writeHead(head.status, getEndToEndHeaders(head.rawHeaders, STREAM_DROPPED));
    }
  }

  private writeEvents(events: StreamEvent[]): void {
    const fresh = events.filter(({ id }) => !this.wasGiven(id));
    fresh.forEach(({ id }) => {
      this.lastEvent = id ?? this.lastEvent;
    });
    if (fresh.length > 0) {
      this.notePause();
      this.write(Buffer.concat(fresh.map(({ bytes }) => bytes)));
    }
  }

  private notePause(): void {
    const { clock, metrics, request } = this.parts;
    const now = clock.now();
    if (this.lastEventAt !== undefined) {
      const pause = now - this.lastEventAt;
      this.longestPause = Math.max(this.longestPause ?? 0, pause);
      metrics.pauses.observe({ kind: request.route.kind }, pause / MILLISECONDS_PER_SECOND);
    }
    this.lastEventAt = now;
  }

  /** A replica that goes on too early repeats events that the caller already has. */
  private wasGiven(id: string | undefined): boolean {
    const last = Number(this.lastEvent);
    return id !== undefined && this.lastEvent !== undefined && Number(id) <= last;
  }

  private write(bytes: Buffer): void {
    const { response } = this.parts;
    if (!response.write(bytes)) {
      const exchange = this.running?.exchange;
      exchange?.pause();
      response.once('drain', () => exchange?.resume());
    }
  }

  private endAttempt(effect: Send, startedAt: Milliseconds, result: AttemptResult): void {
    const { clock, log, metrics, request, tell } = this.parts;
    const { id, attempt, replica } = effect;
    const { end, status, detail } = result;
    if (this.running !== undefined) {
      this.noteEnded(this.running, end);
    }
    this.running = undefined;
    this.held = result.answer;
    const after = clock.now() - startedAt;
    log({ event: 'attempt-ended', id, attempt, replica: replica.id, end, status, after, detail });
    metrics.attempts.inc({ service: request.service, end });
    tell({ kind: 'attempt-ended', id, attempt, end });
  }

  private noteEnded({ startedAt }: RunningExchange, end: AttemptEnd): void {
    const { clock, onEnded, request } = this.parts;
    const { service, route } = request;
    const isStream = route.kind === RouteKind.Stream;
    const attempt = { service, end, sentAt: startedAt, endedAt: clock.now(), isStream };
    const start = onEnded(attempt);
    if (start !== undefined) {
      this.noteRun(start);
    }
  }

  private noteRun(at: Milliseconds): void {
    const { onRun, request } = this.parts;
    if (!this.hasRun && request.workspace !== undefined) {
      onRun(request.workspace.name, at);
    }
    this.hasRun = true;
  }

  private noteAnswered(status: number): void {
    const { clock, log, metrics, request } = this.parts;
    const after = clock.now() - request.arrived;
    const { attempts, replica } = this;
    const { firstByteAt, longestPause } = this;
    const firstByte = firstByteAt === undefined ? undefined : firstByteAt - request.arrived;
    log({
      event: 'answered',
      id: request.id,
      status,
      replica,
      attempts,
      after,
      firstByte,
      longestPause,
    });
    metrics.whole.observe({ kind: request.route.kind }, after / MILLISECONDS_PER_SECOND);
  }

  private onCallerClosed(): void {
    const { clock, log, request, tell } = this.parts;
    if (!this.isOver) {
      log({ event: 'caller-left', id: request.id, after: clock.now() - request.arrived });
      tell({ kind: 'caller-left', id: request.id });
      this.finish('caller-left', '');
    }
  }

  private finish(outcome: string, reason: string): void {
    const { metrics, request, onOver } = this.parts;
    if (!this.isOver) {
      this.isOver = true;
      metrics.countRequest({
        route: request.route.name,
        workspace: request.workspace?.name ?? '',
        kind: request.route.kind,
        priority: request.priority,
        outcome,
        reason,
      });
      onOver();
    }
  }
}
