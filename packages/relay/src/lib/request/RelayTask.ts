import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { ServerResponse } from 'node:http';
import { RouteKind } from '../config/RelayConfiguration.js';
import type { RelayReplica } from '../config/RelayConfiguration.js';
import { AttemptEnd, GiveUpReason, Outcome } from '../decide/messages.js';
import type { PlacementEffect, PlacementMessage, PlacementRequest } from '../decide/messages.js';
import type { RefusedPrompt } from '../duties/DemandCounter/DemandCounter.js';
import type { EndedAttempt } from '../duties/RunStartEstimator/RunStartEstimator.js';
import type { Holding } from '../memory/HeldBytes/Holding.js';
import type { ResponseBuffers } from '../memory/ResponseBuffers/ResponseBuffers.js';
import { getErrorText } from '../observe/getErrorText.js';
import type { RelayLog } from '../observe/RelayEvent.js';
import type { RelayMetrics } from '../observe/RelayMetrics.js';
import type { ReplicaNotice, ResponseFields, RelayProtocol } from '../protocol/RelayProtocol.js';
import { pathOptions } from '../paths/pathOptions.js';
import type { StartedStream } from '../streams/StreamVersionExchange/StreamVersionExchange.js';
import type { AttemptSender } from '../transport/AttemptSender.js';
import type { SentAttempt } from '../transport/SentAttempt/SentAttempt.js';
import type { StreamEvent } from '../upstream/EventSplitter/EventSplitter.js';
import type { UnsendableRequestError } from '../upstream/UpstreamExchange/UnsendableRequestError.js';
import type { ResponseHead } from '../upstream/UpstreamExchange/UpstreamExchange.js';
import { CallerResponse, ResponseEnd } from './CallerResponse.js';
import { createPlacementRequest } from './createPlacementRequest.js';
import { findQuarantinedPart } from './findQuarantinedPart.js';
import { getErrorStatus } from './getErrorStatus.js';
import { ResponseFlow } from './ResponseFlow/ResponseFlow.js';
import { ResponseReader } from './ResponseReader.js';
import type { ResponseListener, AttemptResult, BufferedResponse } from './ResponseReader.js';
import type { ReceivedRequest } from './ReceivedRequest.js';
import { writeErrorResponse } from './writeErrorResponse.js';
import type { ErrorResponse } from './writeErrorResponse.js';

/** Dependencies of {@link RelayTask}. */
export interface RelayTaskParts {
  request: ReceivedRequest;
  response: ServerResponse;
  /** What is held for the request. */
  holding: Holding;
  buffers: ResponseBuffers;
  protocol: RelayProtocol;
  sender: AttemptSender;
  clock: Clock;
  log: RelayLog;
  metrics: RelayMetrics;
  dispatch: (message: PlacementMessage) => void;
  /** Whether a request that was placed at a replica may still be sent to it. */
  maySend: (replica: string) => boolean;
  /** Called when an attempt is sent to a replica, with the number of prompt tokens to prefill. */
  onAttemptSent: (service: string, tokens: number) => void;
  /** Called when the request is refused because the replicas of its service have no room. */
  onRefused: (service: string, prompt: RefusedPrompt) => void;
  /**
   * Called when an attempt that was sent has ended.
   *
   * @returns when the replica started to run it; undefined if nothing shows that it did
   */
  onAttemptEnded: (attempt: EndedAttempt) => Milliseconds | undefined;
  /** Called when a replica has sent the first event of a stream, or of its continuation. */
  onStreamStarted: (stream: StartedStream) => void;
  /** Called when a replica runs the request for the first time. */
  onRunStarted: (workspace: string, at: Milliseconds) => void;
  /** Called with the fields of a response that cannot be read. */
  onUnreadable: (replica: string, fields: ResponseFields['unreadable']) => void;
  /** Called when the task has ended. */
  onFinished: () => void;
}

type SendEffect = Extract<PlacementEffect, { kind: 'send' }>;
type GiveUpEffect = Extract<PlacementEffect, { kind: 'give-up' }>;

interface CurrentAttempt {
  attempt: number;
  sent: SentAttempt;
  startedAt: Milliseconds;
}

const MILLISECONDS_PER_SECOND = 1_000;

const BAD_REQUEST = 400;
const BAD_GATEWAY = 502;
const SERVICE_UNAVAILABLE = 503;

/**
 * Handles one request: the response to the caller, and the current attempt. Carries out the decisions
 * of the placement core, and reports events to it.
 */
export class RelayTask {
  private current: CurrentAttempt | undefined;

  private readonly callerResponse: CallerResponse;

  private readonly flow: ResponseFlow;

  /** Reports the end of an attempt to the core once the caller reads again. */
  private unreportedEnd: { attempt: number; report: () => void } | undefined;

  /** The response of the last attempt, buffered until the core decides that it is final. */
  private lastResponse: BufferedResponse | undefined;

  /** The id of the last event that was sent to the caller. */
  private lastEventId: string | undefined;

  private firstByteAt: Milliseconds | undefined;

  private lastEventAt: Milliseconds | undefined;

  private longestPause: Milliseconds | undefined;

  private attemptCount = 0;

  /** Whether a replica has run the request; a request is counted once, however often it is run. */
  private hasRun = false;

  private replicaId = '';

  private isFinished = false;

  /** Whether an unexpected error has ended the request. */
  private hasFailed = false;

  constructor(private readonly parts: RelayTaskParts) {
    this.lastEventId = parts.request.fields.resumeAfter;
    this.callerResponse = new CallerResponse(parts.response);
    this.flow = new ResponseFlow({
      ...parts,
      callerResponse: this.callerResponse,
      onPaused: (reason) => parts.metrics.responsesPaused.inc({ reason }),
    });
    parts.response.once('close', () => this.handleCallerClosed());
  }

  /** The request as the placement core sees it. */
  get placementRequest(): PlacementRequest {
    return createPlacementRequest(this.parts.request);
  }

  /** Starts an attempt. */
  send(effect: SendEffect): void {
    const { clock, log, protocol, request, sender } = this.parts;
    const { id, attempt, replica, choice } = effect;
    log({ event: 'sent', id, attempt, replica: replica.id, service: request.service, choice });
    this.attemptCount += 1;
    this.replicaId = replica.id;
    const startedAt = clock.now();
    this.recordAdmissionWait(startedAt);
    this.parts.onAttemptSent(request.service, choice.missingTokens);
    const sent: SentAttempt = sender.send({
      id,
      attempt,
      replica,
      method: request.method,
      target: request.target,
      createHeaders: () => this.createHeaders(effect),
      body: request.body,
      listener: new ResponseReader({
        requestId: request.fields.requestId,
        isStream: request.route.kind === RouteKind.Stream,
        protocol,
        listener: this.createListener(effect, startedAt),
        abort: () => sent.abort(),
      }),
      maySend: () => this.parts.maySend(replica.id),
      onFault: (error) => this.handleFault(attempt, error),
    });
    this.current = { attempt, sent, startedAt };
    this.flow.start(sent);
  }

  /** Handles an error that was thrown while the response to an attempt was handled. */
  private handleFault(attempt: number, error: unknown): void {
    const isOutdated = this.current !== undefined && this.current.attempt !== attempt;
    if (!isOutdated && !this.isFinished) {
      this.fail('handle a response', error);
    }
  }

  /** Passes a message to the core. If the core throws, this request ends. */
  private dispatch(message: PlacementMessage): void {
    try {
      this.parts.dispatch(message);
    } catch (error) {
      this.fail(`handle ${message.kind}`, error);
    }
  }

  private createHeaders({ replica, choice }: SendEffect): string[] {
    const { clock, protocol, request } = this.parts;
    return protocol.getUpstreamHeaders(request.rawHeaders, {
      replica,
      workspace: request.workspace?.name,
      timeLeft: Math.max(1, Math.round(request.deadline - clock.now())),
      rank: request.rank,
      fetchFrom: choice.fetchFrom,
      resumeAfter: this.lastEventId,
    });
  }

  /** Reports the current attempt if its connection is silent and goes to one of these replicas. */
  handleSilentReplicas(replicas: ReadonlySet<string>): void {
    const { clock, request } = this.parts;
    const { current } = this;
    const isStranded =
      current !== undefined &&
      replicas.has(current.sent.replica.id) &&
      current.sent.getDirectSilence(clock.now()) >= pathOptions.maxSilence;
    if (isStranded) {
      this.dispatch({ kind: 'attempt-stranded', id: request.id, attempt: current.attempt });
    }
  }

  /** Cancels an attempt, and reports its end to the core unless the attempt has already ended. */
  cancel(effect: Extract<PlacementEffect, { kind: 'cancel' }>): void {
    const { id, attempt, reason } = effect;
    const { current } = this;
    if (current?.attempt !== attempt) {
      this.reportEnd(attempt);
      return;
    }
    const { clock, log } = this.parts;
    const hasBegun = this.callerResponse.isStarted;
    const silence = current.sent.getDirectSilence(clock.now());
    log({ event: 'cancelled', id, attempt, reason, hasBegun, silence });
    this.recordAttemptEnd(current, AttemptEnd.Cancelled);
    this.current = undefined;
    current.sent.abort();
    this.flow.end(false);
    queueMicrotask(() => {
      this.dispatch({ kind: 'attempt-ended', id, attempt, end: AttemptEnd.Cancelled });
    });
  }

  /** Sends the response of the last attempt, which is final. */
  complete(): void {
    const { callerResponse, lastResponse } = this;
    const end =
      lastResponse === undefined
        ? callerResponse.endStream()
        : callerResponse.sendWhole(lastResponse.head, lastResponse.body);
    this.recordResponse(this.parts.response.statusCode, end);
    this.finish('answered', end === ResponseEnd.BrokenOff ? end : '');
  }

  /** Responds with an error, which states whether the request may have run. */
  giveUp({ outcome, reason, retryAfter, quarantined }: GiveUpEffect): void {
    const { clock, log, request, response } = this.parts;
    const status = getErrorStatus(outcome, reason);
    const after = clock.now() - request.arrivedAt;
    const part = findQuarantinedPart(request, quarantined);
    log({ event: 'given-up', id: request.id, outcome, reason, status, retryAfter, part, after });
    this.recordRefusal(outcome, reason);
    this.finish(outcome, reason);
    if (this.callerResponse.isStarted) {
      this.callerResponse.breakOff();
      return;
    }
    const detail = part === undefined ? undefined : `part ${part} of the prompt crashes replicas`;
    writeErrorResponse(response, { status, reason, outcome, retryAfter, detail });
  }

  /**
   * Ends the request after an unexpected error, whatever has been done for it so far.
   *
   * @param step - what failed
   */
  fail(step: string, error: unknown): void {
    const { log, metrics, request } = this.parts;
    const { id } = request;
    log({ event: 'fault', id, step, error: getErrorText(error) });
    if (this.hasFailed) {
      return;
    }
    this.hasFailed = true;
    metrics.requestFaults.inc();
    const mayHaveRun = this.attemptCount > 0;
    this.endEarly(step, {
      status: mayHaveRun ? BAD_GATEWAY : SERVICE_UNAVAILABLE,
      reason: 'unexpected error',
      outcome: mayHaveRun ? Outcome.Unknown : Outcome.NotRun,
    });
  }

  private rejectUnsendable({ message }: UnsendableRequestError): void {
    const { log, request } = this.parts;
    const { id, version } = request;
    log({ event: 'rejected', id, status: BAD_REQUEST, reason: message, version });
    // An earlier attempt would have met the same error, so that no replica has run the request.
    const outcome = Outcome.NotRun;
    this.endEarly('unsendable', { status: BAD_REQUEST, reason: message, outcome });
  }

  /** Ends the request without a decision of the core. */
  private endEarly(reason: string, error: ErrorResponse): void {
    const { request, response } = this.parts;
    const { id } = request;
    const { current } = this;
    this.current = undefined;
    current?.sent.abort();
    this.flow.end(false);
    this.finish('failed', reason);
    if (!this.callerResponse.isStarted) {
      writeErrorResponse(response, error);
    } else if (!response.writableEnded) {
      this.callerResponse.breakOff();
    }
    // The core must not be called back before it returns.
    queueMicrotask(() => this.dispatch({ kind: 'request-failed', id }));
  }

  private recordRefusal(outcome: Outcome, reason: GiveUpReason): void {
    const { onRefused, request } = this.parts;
    const { fields, fingerprint, service } = request;
    if (outcome === Outcome.NotRun && reason === GiveUpReason.Overload) {
      onRefused(service, { fingerprint, inputTokens: fields.prompt?.inputTokens ?? 0 });
    }
  }

  private createListener(effect: SendEffect, startedAt: Milliseconds): ResponseListener {
    const { attempt } = effect;
    const isCurrent = () => this.current?.attempt === attempt;
    const runIfCurrent = (action: () => void) => {
      if (isCurrent()) {
        action();
      }
    };
    return {
      onFields: (fields) => this.handleFields(effect, startedAt, fields),
      onFirstByte: (head) => runIfCurrent(() => this.recordFirstByte(effect, startedAt, head)),
      onStream: (head) => runIfCurrent(() => this.startStream(effect, head)),
      onBuffered: (bytes) => runIfCurrent(() => this.flow.recordBuffered(bytes)),
      onEvents: (events) => runIfCurrent(() => this.writeEvents(events)),
      onTrailingBytes: (bytes) => runIfCurrent(() => this.flow.write(bytes)),
      onResult: (result) => runIfCurrent(() => this.endAttempt(effect, startedAt, result)),
      onUnsendable: (error) => runIfCurrent(() => this.rejectUnsendable(error)),
    };
  }

  private recordAdmissionWait(now: Milliseconds): void {
    const { metrics, request } = this.parts;
    if (this.attemptCount === 1) {
      const wait = (now - request.arrivedAt) / MILLISECONDS_PER_SECOND;
      metrics.admissionWait.observe({ kind: request.route.kind }, wait);
    }
  }

  private handleFields(effect: SendEffect, sentAt: Milliseconds, fields: ResponseFields): void {
    const { request } = this.parts;
    const { load, limit, requestId, isMisdirected, isSigned } = fields;
    const replicaId = effect.replica.id;
    this.parts.onUnreadable(replicaId, fields.unreadable);
    if (load !== undefined) {
      this.dispatch({ kind: 'load', replica: replicaId, report: load });
    }
    if (!isMisdirected) {
      this.handleNotice(effect, fields);
    }
    // The absence of a statement lifts it, so only a verified response to this request may do that.
    const isVerified = isSigned && requestId === request.fields.requestId;
    if (!isMisdirected && (limit !== undefined || isVerified)) {
      this.dispatch({ kind: 'limit', replica: replicaId, sentAt, limit });
    }
    const { threshold } = fields;
    if (!isMisdirected && (threshold !== undefined || isVerified)) {
      this.dispatch({ kind: 'threshold', replica: replicaId, sentAt, threshold });
    }
  }

  /** Records what a response announces about its replica. */
  private handleNotice(effect: SendEffect, { isLeaving, backoff }: ReplicaNotice): void {
    const { log, metrics } = this.parts;
    const { id, attempt, replica } = effect;
    if (isLeaving || backoff !== undefined) {
      log({ event: 'replica-notice', id, attempt, replica: replica.id, isLeaving, backoff });
    }
    if (backoff !== undefined) {
      metrics.replicaNotices.inc({ service: replica.service, notice: 'backoff' });
    }
    if (backoff?.kind === 'span') {
      this.dispatch({
        kind: 'backoff',
        replica: replica.id,
        span: backoff.span,
        source: 'response',
      });
    }
    if (isLeaving) {
      metrics.replicaNotices.inc({ service: replica.service, notice: 'leaving' });
      this.dispatch({ kind: 'leaving', replica: replica.id, source: 'response' });
    }
  }

  private recordFirstByte(
    { id, attempt, replica }: SendEffect,
    startedAt: Milliseconds,
    { framing }: ResponseHead,
  ): void {
    const { clock, log, metrics, request } = this.parts;
    const now = clock.now();
    this.firstByteAt ??= now;
    this.dispatch({ kind: 'first-byte-received', id, attempt });
    const { id: replicaId, softwareVersion } = replica;
    const after = now - startedAt;
    log({ event: 'first-byte', id, attempt, replica: replicaId, softwareVersion, framing, after });
    metrics.firstByteTime.observe(
      { kind: request.route.kind },
      (now - request.arrivedAt) / MILLISECONDS_PER_SECOND,
    );
  }

  private startStream({ id, attempt, replica }: SendEffect, head: ResponseHead): void {
    this.dispatch({ kind: 'stream-started', id, attempt });
    this.recordStream(replica);
    this.recordRunStart(this.parts.clock.now());
    this.callerResponse.startStream(head);
  }

  /** Records which software version writes the stream, before its first event leaves. */
  private recordStream({ softwareVersion }: RelayReplica): void {
    const { onStreamStarted, request } = this.parts;
    const { fields, route, service } = request;
    if (route.resumable) {
      const ids = [fields.requestId, fields.resumes].filter((id) => id !== undefined);
      onStreamStarted({ ids, service, softwareVersion, isSplit: route.targets.length > 1 });
    }
  }

  private writeEvents(events: StreamEvent[]): void {
    const newEvents = events.filter(({ id }) => !this.wasSent(id));
    newEvents.forEach(({ id }) => {
      this.lastEventId = id ?? this.lastEventId;
    });
    if (newEvents.length > 0) {
      this.recordPause();
      this.flow.write(Buffer.concat(newEvents.map(({ bytes }) => bytes)));
    }
  }

  private recordPause(): void {
    const { clock, metrics, request } = this.parts;
    const now = clock.now();
    if (this.lastEventAt !== undefined) {
      const pause = now - this.lastEventAt;
      this.longestPause = Math.max(this.longestPause ?? 0, pause);
      metrics.streamPauses.observe({ kind: request.route.kind }, pause / MILLISECONDS_PER_SECOND);
    }
    this.lastEventAt = now;
  }

  /** A replica can resume a stream too early and repeat events that the caller has already received. */
  private wasSent(id: string | undefined): boolean {
    const last = Number(this.lastEventId);
    return id !== undefined && this.lastEventId !== undefined && Number(id) <= last;
  }

  private endAttempt(effect: SendEffect, startedAt: Milliseconds, result: AttemptResult): void {
    const { clock, log, metrics, request } = this.parts;
    const { id, attempt, replica } = effect;
    const { status, detail, framing, bodyBytes, incompleteBytes } = result;
    const isCutOff = result.end === AttemptEnd.Broken && status !== undefined && this.flow.isUnread;
    const end = isCutOff ? AttemptEnd.Unread : result.end;
    if (this.current !== undefined) {
      this.recordAttemptEnd(this.current, end);
    }
    this.current = undefined;
    this.flow.end(result.response !== undefined);
    this.lastResponse = result.response;
    const after = clock.now() - startedAt;
    log({
      event: 'attempt-ended',
      id,
      attempt,
      replica: replica.id,
      end,
      status,
      after,
      framing,
      bodyBytes,
      incompleteBytes,
      detail,
    });
    metrics.attempts.inc({ service: request.service, end });
    if (framing !== undefined) {
      metrics.responses.inc({ service: request.service, framing, end });
    }
    const report = () => this.dispatch({ kind: 'attempt-ended', id, attempt, end });
    if (isCutOff) {
      // Another replica would cut off the response as well before the caller reads.
      this.unreportedEnd = { attempt, report };
      this.flow.onceReading(() => this.reportEnd(attempt));
    } else {
      report();
    }
  }

  /** Reports an end that has not been reported yet. */
  private reportEnd(attempt: number): void {
    const { unreportedEnd } = this;
    if (unreportedEnd?.attempt === attempt) {
      this.unreportedEnd = undefined;
      // The core must not be called back before it returns.
      queueMicrotask(unreportedEnd.report);
    }
  }

  private recordAttemptEnd({ startedAt }: CurrentAttempt, end: AttemptEnd): void {
    const { clock, onAttemptEnded, request } = this.parts;
    const { service, route } = request;
    const isStream = route.kind === RouteKind.Stream;
    const attempt = { service, end, sentAt: startedAt, endedAt: clock.now(), isStream };
    const runStartedAt = onAttemptEnded(attempt);
    if (runStartedAt !== undefined) {
      this.recordRunStart(runStartedAt);
    }
  }

  private recordRunStart(at: Milliseconds): void {
    const { onRunStarted, request } = this.parts;
    if (!this.hasRun && request.workspace !== undefined) {
      onRunStarted(request.workspace.name, at);
    }
    this.hasRun = true;
  }

  private recordResponse(status: number, end: ResponseEnd): void {
    const { clock, log, metrics, request } = this.parts;
    const after = clock.now() - request.arrivedAt;
    const { attemptCount, replicaId } = this;
    const { firstByteAt, longestPause } = this;
    const firstByte = firstByteAt === undefined ? undefined : firstByteAt - request.arrivedAt;
    log({
      event: 'answered',
      id: request.id,
      status,
      end,
      replica: replicaId,
      attempts: attemptCount,
      after,
      firstByte,
      longestPause,
    });
    metrics.responseTime.observe({ kind: request.route.kind }, after / MILLISECONDS_PER_SECOND);
  }

  private handleCallerClosed(): void {
    const { clock, log, request } = this.parts;
    if (!this.isFinished) {
      log({ event: 'caller-left', id: request.id, after: clock.now() - request.arrivedAt });
      this.dispatch({ kind: 'caller-left', id: request.id });
      this.finish('caller-left', '');
    }
  }

  private finish(outcome: string, reason: string): void {
    const { metrics, request, onFinished } = this.parts;
    if (!this.isFinished) {
      this.isFinished = true;
      metrics.countRequest({
        route: request.route.name,
        workspace: request.workspace?.name ?? '',
        kind: request.route.kind,
        priority: request.route.priority,
        outcome,
        reason,
      });
      onFinished();
    }
  }
}
