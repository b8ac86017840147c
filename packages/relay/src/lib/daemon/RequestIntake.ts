import { readBody, waitForSocketEvents } from '@apricotrill/callers';
import type { BodyResult } from '@apricotrill/callers';
import type { Clock, Milliseconds, Random } from '@apricotrill/utils';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { admitCall } from '../callers/admitCall.js';
import type { CallAdmission } from '../callers/admitCall.js';
import { callerOptions } from '../callers/callerOptions.js';
import type { ActiveConfiguration } from '../config/ActiveConfiguration.js';
import { pickService } from '../config/pickService.js';
import { Outcome } from '../decide/messages.js';
import type { PlacementMessage } from '../decide/messages.js';
import type { RelayLog } from '../observe/RelayEvent.js';
import type { RelayMetrics } from '../observe/RelayMetrics.js';
import { getEndToEndHeaders } from '../protocol/connectionHeaders.js';
import type { RelayProtocol } from '../protocol/RelayProtocol.js';
import { getRequestFingerprint } from '../request/getRequestFingerprint.js';
import type { ReceivedRequest } from '../request/ReceivedRequest.js';
import { RelayTask } from '../request/RelayTask.js';
import type { RelayTaskParts } from '../request/RelayTask.js';
import { writeRefusal } from '../request/writeRefusal.js';
import type { UpstreamConnections } from '../upstream/UpstreamConnections/UpstreamConnections.js';

/** What the intake is made of. */
export interface RequestIntakeParts {
  /** This daemon's name, which is part of the ids it gives. */
  daemon: string;
  clock: Clock;
  random: Random;
  log: RelayLog;
  metrics: RelayMetrics;
  protocol: RelayProtocol;
  connections: UpstreamConnections;
  tell: (message: PlacementMessage) => void;
  onSent: RelayTaskParts['onSent'];
  onEnded: RelayTaskParts['onEnded'];
  onRun: RelayTaskParts['onRun'];
  getActive: () => ActiveConfiguration | undefined;
  /** Whether the daemon takes no requests any more. */
  isClosed: () => boolean;
}

const BAD_REQUEST = 400;

type UnreadBody = Exclude<BodyResult['kind'], 'whole'>;

/** What callers are told whose body is not read to its end. */
const UNREAD: Readonly<Record<Exclude<UnreadBody, 'cut'>, { status: number; reason: string }>> = {
  'too-large': { status: 413, reason: 'body too large' },
  'too-slow': { status: 408, reason: 'body too slow' },
};

/**
 * A request that comes on a connection that was open before, too late to be ended within the grace.
 */
const STOPPING: CallAdmission = {
  kind: 'rejected',
  status: 503,
  reason: 'this daemon is stopping',
  retryAfter: callerOptions.stoppingRetryAfter,
};

/** Takes callers' requests: admits or rejects them, reads them, and gives each a task. */
export class RequestIntake {
  private readonly tasks = new Map<string, RelayTask>();

  private counter = 0;

  constructor(private readonly parts: RequestIntakeParts) {}

  /** The request with this id, while it is open. */
  getTask(id: string): RelayTask | undefined {
    return this.tasks.get(id);
  }

  async take(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { clock, protocol, random } = this.parts;
    const arrived = clock.now();
    const fields = protocol.readRequest(request.headers);
    const id = this.createId(fields.requestId);
    const admission = this.parts.isClosed()
      ? STOPPING
      : admitCall(request, fields, this.parts.getActive());
    if (admission.kind === 'rejected') {
      const { status, reason, retryAfter } = admission;
      this.noteRejected(id, status, reason);
      writeRefusal(response, { status, reason, outcome: Outcome.NotRun, retryAfter });
      request.resume();
      return;
    }
    const { active, route, workspace } = admission;
    const { configuration } = active;
    const { bodyBytes, idleTimeout } = configuration.limits;
    const read = await readBody(request, { maxBytes: bodyBytes, timeout: idleTimeout }, clock);
    if (read.kind !== 'whole') {
      this.endUnread(response, id, read.kind, clock.now() - arrived);
      return;
    }
    // A caller that gave up while this daemon was busy has closed its connection by now.
    await waitForSocketEvents();
    const service = pickService(route, random);
    const method = request.method ?? 'GET';
    const target = request.url ?? '/';
    const fingerprint = getRequestFingerprint({
      method,
      host: request.headers.host ?? '',
      target,
      caller: workspace?.name ?? fields.key ?? '',
      body: read.body,
    });
    this.relay(response, {
      id,
      fingerprint,
      method,
      target,
      rawHeaders: getEndToEndHeaders(request.rawHeaders),
      body: read.body,
      fields,
      route,
      service,
      workspace,
      priority: workspace?.priority ?? route.priority,
      rank: active.ranks.get(route, service, workspace),
      arrived,
      deadline: arrived + Math.min(route.timeout, fields.timeout ?? Number.POSITIVE_INFINITY),
      version: configuration.version,
    });
  }

  /** What came is no request: its connection has been answered and closed. */
  noteMalformed(reason: string): void {
    this.noteRejected('', BAD_REQUEST, reason);
  }

  /** The body can't be had: its connection ends with the answer, since the rest may still come. */
  private endUnread(
    response: ServerResponse,
    id: string,
    kind: UnreadBody,
    after: Milliseconds,
  ): void {
    if (kind === 'cut') {
      this.parts.log({ event: 'caller-left', id, after });
      return;
    }
    const { status, reason } = UNREAD[kind];
    this.noteRejected(id, status, reason);
    response.shouldKeepAlive = false;
    writeRefusal(response, { status, reason, outcome: Outcome.NotRun });
  }

  private relay(response: ServerResponse, request: ReceivedRequest): void {
    const { clock, connections, log, metrics, protocol, tell, onSent, onEnded, onRun } = this.parts;
    const after = clock.now() - request.arrived;
    if (response.destroyed) {
      log({ event: 'caller-left', id: request.id, after });
      return;
    }
    const { id, fingerprint, route, workspace, priority, rank, version } = request;
    log({
      event: 'admitted',
      id,
      fingerprint,
      route: route.name,
      workspace: workspace?.name ?? '',
      priority,
      rank,
      timeLeft: request.deadline - clock.now(),
      version,
    });
    const task = new RelayTask({
      request,
      response,
      protocol,
      connections,
      clock,
      log,
      metrics,
      tell,
      onSent,
      onEnded,
      onRun,
      onOver: () => this.tasks.delete(id),
    });
    this.tasks.set(id, task);
    tell({ kind: 'submit', request: task.placementRequest });
  }

  private createId(requestId: string | undefined): string {
    if (requestId !== undefined && !this.tasks.has(requestId)) {
      return requestId;
    }
    this.counter += 1;
    return `${this.parts.daemon}/${this.counter}`;
  }

  private noteRejected(id: string, status: number, reason: string): void {
    const { log, metrics } = this.parts;
    log({ event: 'rejected', id, status, reason, version: this.version });
    metrics.rejections.inc({ status });
  }

  private get version(): number | undefined {
    return this.parts.getActive()?.configuration.version;
  }
}
