import { waitForSocketEvents } from '@apricotrill/callers';
import type { Clock, Milliseconds, Random } from '@apricotrill/utils';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { admitRequest } from '../callers/admitRequest.js';
import type { RequestAdmission } from '../callers/admitRequest.js';
import { callerOptions } from '../callers/callerOptions.js';
import type { ActiveConfiguration } from '../config/ActiveConfiguration.js';
import { RouteKind } from '../config/RelayConfiguration.js';
import type { RelayRoute } from '../config/RelayConfiguration.js';
import { pickService } from '../config/pickService.js';
import { Outcome } from '../decide/messages.js';
import type { PlacementMessage } from '../decide/messages.js';
import type { Holding } from '../memory/HeldBytes/Holding.js';
import type { MemoryGuard } from '../memory/MemoryGuard/MemoryGuard.js';
import { memoryOptions } from '../memory/memoryOptions.js';
import type { RelayLog } from '../observe/RelayEvent.js';
import type { RelayMetrics } from '../observe/RelayMetrics.js';
import type { UnreadableReporter } from '../observe/UnreadableReporter/UnreadableReporter.js';
import { getEndToEndHeaders } from '../protocol/connectionHeaders.js';
import type { RelayProtocol, RequestFields } from '../protocol/RelayProtocol.js';
import { createAdmittedEvent } from '../request/createAdmittedEvent.js';
import { getRequestFingerprint } from '../request/getRequestFingerprint.js';
import type { ReceivedRequest } from '../request/ReceivedRequest.js';
import { RelayTask } from '../request/RelayTask.js';
import type { RelayTaskParts } from '../request/RelayTask.js';
import { writeErrorResponse } from '../request/writeErrorResponse.js';
import type {
  Resumption,
  ReturnedStream,
} from '../streams/StreamVersionExchange/StreamVersionExchange.js';
import { streamOptions } from '../streams/streamOptions.js';
import type { AttemptSender } from '../transport/AttemptSender.js';
import { BodyIntake } from './BodyIntake.js';
import type { BodyIntakeResult } from './BodyIntake.js';

/** Dependencies of {@link RequestIntake}. */
export interface RequestIntakeParts {
  /** Part of the ids that this daemon assigns to requests. */
  daemonId: string;
  clock: Clock;
  random: Random;
  log: RelayLog;
  metrics: RelayMetrics;
  protocol: RelayProtocol;
  memory: MemoryGuard;
  sender: AttemptSender;
  dispatch: (message: PlacementMessage) => void;
  maySend: RelayTaskParts['maySend'];
  onAttemptSent: RelayTaskParts['onAttemptSent'];
  onRefused: RelayTaskParts['onRefused'];
  onAttemptEnded: RelayTaskParts['onAttemptEnded'];
  onStreamStarted: RelayTaskParts['onStreamStarted'];
  onRunStarted: RelayTaskParts['onRunStarted'];
  unreadable: UnreadableReporter;
  /** Finds out at which software version a stream that a caller resumes may go on. */
  findResumption: (stream: ReturnedStream) => Promise<Resumption>;
  getActive: () => ActiveConfiguration | undefined;
  /** Time since the active configuration was the current one in the store. */
  getConfigurationAge: () => Milliseconds;
  /** Makes sure that the active configuration is recent. @returns whether it is */
  confirmConfiguration: () => Promise<boolean>;
  /** Whether new requests are rejected because the daemon is stopping. */
  isRejecting: () => boolean;
}

const BAD_REQUEST = 400;
const SERVICE_UNAVAILABLE = 503;

type UnreadBodyKind = Exclude<BodyIntakeResult['kind'], 'whole' | 'no-memory'>;

type Rejection = Extract<RequestAdmission, { kind: 'rejected' }>;

/** Responses to requests whose body could not be read completely. */
const UNREAD_BODY_RESPONSES: Readonly<
  Record<Exclude<UnreadBodyKind, 'cut'>, { status: number; reason: string }>
> = {
  'too-large': { status: 413, reason: 'body too large' },
  'too-slow': { status: 408, reason: 'body too slow' },
};

/**
 * Applies to requests on connections that are still open but that could not complete within the
 * grace period.
 */
const STOPPING_REJECTION: Rejection = {
  kind: 'rejected',
  status: 503,
  reason: 'this daemon is stopping',
  retryAfter: callerOptions.stoppingRetryAfter,
};

const UNCONFIRMED_REJECTION: Rejection = {
  kind: 'rejected',
  status: 503,
  reason: 'a newer configuration may contain what the request names',
  retryAfter: callerOptions.unconfirmedRetryAfter,
};

const MEMORY_REJECTION: Rejection = {
  kind: 'rejected',
  status: 503,
  reason: 'this daemon holds as much as its memory allows',
  retryAfter: memoryOptions.retryAfter,
};

/** Receives requests from callers: admits or rejects them, reads them, and creates a task for each. */
export class RequestIntake {
  private readonly tasks = new Map<string, RelayTask>();

  private readonly bodies: BodyIntake;

  private idCounter = 0;

  constructor(private readonly parts: RequestIntakeParts) {
    this.bodies = new BodyIntake(parts.clock, parts.memory);
  }

  /** Returns the task of a request in flight. */
  getTask(id: string): RelayTask | undefined {
    return this.tasks.get(id);
  }

  /** Reports attempts on connections to these replicas that carry nothing any more. */
  handleSilentReplicas(replicas: ReadonlySet<string>): void {
    this.tasks.forEach((task) => task.handleSilentReplicas(replicas));
  }

  async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { clock, protocol, random } = this.parts;
    const arrivedAt = clock.now();
    const fields = protocol.readRequest(request.headers);
    const id = this.createId(fields.requestId);
    this.parts.unreadable.report(`request ${id}`, fields.unreadable);
    const admission = await this.admit(request, fields);
    if (admission.kind === 'rejected') {
      this.rejectUnread(request, response, id, admission);
      return;
    }
    const { active, route, workspace } = admission;
    const { configuration } = active;
    const bodyResult = await this.bodies.read({
      request,
      response,
      urgency: active.urgencies.get(route),
      limits: configuration.limits,
    });
    if (bodyResult.kind === 'no-memory') {
      this.parts.metrics.memoryRefusals.inc();
      this.rejectUnread(request, response, id, MEMORY_REJECTION);
      return;
    }
    if (bodyResult.kind !== 'whole') {
      this.rejectUnreadBody(response, id, bodyResult.kind, clock.now() - arrivedAt);
      return;
    }
    // Detects callers that disconnected while the event loop was busy.
    await waitForSocketEvents();
    const resumption = await this.findResumption(id, route, fields);
    if (resumption?.kind === 'unknown') {
      const status = SERVICE_UNAVAILABLE;
      const reason = 'the software version that began the stream is not known';
      const { retryAfter } = streamOptions;
      this.recordRejection(id, status, reason);
      writeErrorResponse(response, { status, reason, outcome: Outcome.NotRun, retryAfter });
      return;
    }
    const service = resumption?.service ?? pickService(route, random);
    const method = request.method ?? 'GET';
    const target = request.url ?? '/';
    const fingerprint = getRequestFingerprint({
      method,
      host: request.headers.host ?? '',
      target,
      caller: workspace?.name ?? fields.key ?? '',
      body: bodyResult.body,
    });
    this.relay(
      response,
      {
        id,
        fingerprint,
        method,
        target,
        rawHeaders: getEndToEndHeaders(request.rawHeaders),
        body: bodyResult.body,
        fields,
        softwareVersion: resumption?.softwareVersion,
        route,
        service,
        workspace,
        rank: active.ranks.get(route, service, workspace),
        arrivedAt,
        deadline: arrivedAt + Math.min(route.timeout, fields.timeout ?? Number.POSITIVE_INFINITY),
        version: configuration.version,
      },
      bodyResult.holding,
    );
  }

  /** Rejects a request as unknown, which is final for the caller, only by a recent configuration. */
  private async admit(request: IncomingMessage, fields: RequestFields): Promise<RequestAdmission> {
    const { isRejecting, getActive, confirmConfiguration } = this.parts;
    if (isRejecting()) {
      return STOPPING_REJECTION;
    }
    const admission = admitRequest(request, fields, getActive());
    if (admission.kind !== 'rejected' || admission.isUnknown !== true) {
      return admission;
    }
    const isConfirmed = await confirmConfiguration();
    return isConfirmed ? admitRequest(request, fields, getActive()) : UNCONFIRMED_REJECTION;
  }

  /** @returns undefined if the request resumes no stream */
  private async findResumption(
    id: string,
    { kind, resumable, targets }: RelayRoute,
    { resumeAfter, resumes }: RequestFields,
  ): Promise<Resumption | undefined> {
    if (kind !== RouteKind.Stream || !resumable || resumeAfter === undefined) {
      return undefined;
    }
    const services = targets.map(({ service }) => service);
    return this.parts.findResumption({ id, resumes, services });
  }

  /** Records input that is not valid HTTP; an error response has been sent and its connection closed. */
  recordMalformed(reason: string): void {
    this.recordRejection('', BAD_REQUEST, reason);
  }

  /** Rejects a request whose body has not been read. */
  private rejectUnread(
    request: IncomingMessage,
    response: ServerResponse,
    id: string,
    { status, reason, retryAfter }: Rejection,
  ): void {
    this.recordRejection(id, status, reason);
    writeErrorResponse(response, { status, reason, outcome: Outcome.NotRun, retryAfter });
    request.resume();
  }

  /** Closes the connection after the response, since the rest of the body may still arrive. */
  private rejectUnreadBody(
    response: ServerResponse,
    id: string,
    kind: UnreadBodyKind,
    after: Milliseconds,
  ): void {
    if (kind === 'cut') {
      this.parts.log({ event: 'caller-left', id, after });
      return;
    }
    const { status, reason } = UNREAD_BODY_RESPONSES[kind];
    this.recordRejection(id, status, reason);
    response.shouldKeepAlive = false;
    writeErrorResponse(response, { status, reason, outcome: Outcome.NotRun });
  }

  private relay(response: ServerResponse, request: ReceivedRequest, holding: Holding): void {
    const {
      clock,
      memory,
      sender,
      log,
      metrics,
      protocol,
      dispatch,
      maySend,
      onAttemptSent,
      onRefused,
      onAttemptEnded,
      onStreamStarted,
      onRunStarted,
      unreadable,
    } = this.parts;
    const after = clock.now() - request.arrivedAt;
    if (response.destroyed) {
      log({ event: 'caller-left', id: request.id, after });
      return;
    }
    const { id } = request;
    log(createAdmittedEvent(request, clock.now()));
    const task = new RelayTask({
      request,
      response,
      holding,
      buffers: memory.buffers,
      protocol,
      sender,
      clock,
      log,
      metrics,
      dispatch,
      maySend,
      onAttemptSent,
      onRefused,
      onAttemptEnded,
      onStreamStarted,
      onRunStarted,
      onUnreadable: (replica, fields) => unreadable.report(`replica ${replica}`, fields),
      onFinished: () => this.tasks.delete(id),
    });
    this.tasks.set(id, task);
    try {
      dispatch({ kind: 'submit', request: task.placementRequest });
    } catch (error) {
      task.fail('place the request', error);
    }
  }

  private createId(requestId: string | undefined): string {
    if (requestId !== undefined && !this.tasks.has(requestId)) {
      return requestId;
    }
    this.idCounter += 1;
    return `${this.parts.daemonId}/${this.idCounter}`;
  }

  private recordRejection(id: string, status: number, reason: string): void {
    const { log, metrics } = this.parts;
    const age = this.version === undefined ? undefined : this.parts.getConfigurationAge();
    log({ event: 'rejected', id, status, reason, version: this.version, age });
    metrics.rejections.inc({ status });
  }

  private get version(): number | undefined {
    return this.parts.getActive()?.configuration.version;
  }
}
