import { getHash } from '@apricotrill/utils';
import type { Clock } from '@apricotrill/utils';
import type { ScheduledRequest } from '@apricotrill/policy';
import type { DecisionLog } from '../observe/DecisionLog.js';
import type { RouterMetrics } from '../observe/RouterMetrics.js';
import { routerOptions } from '../options.js';
import type { CallerCall } from '../pipeline/IdentifiedCall.js';
import { settle } from '../pipeline/settle.js';
import type { LoadListener } from '../upstream/Attempt.js';
import type { ReplicaConnections } from '../upstream/ReplicaConnections.js';
import type { ChatRequest } from './ChatRequest.js';
import { RequestTask } from './RequestTask.js';
import type { Settlement } from './RequestTask.js';
import type { RequestWork } from './RequestExecution.js';
import type { SchedulingTask } from './SchedulingTask.js';

/**
 * What requests share in one daemon.
 *
 * @internal
 */
export interface RunnerParts {
  clock: Clock;
  connections: ReplicaConnections;
  scheduling: SchedulingTask;
  metrics: RouterMetrics;
  log: DecisionLog;
  onLoad: LoadListener;
  onReplicaLeaving: (replica: string) => void;
}

/**
 * How a call is run.
 *
 * @internal
 */
export interface RunOrder {
  call: CallerCall;
  work: RequestWork;
  chat?: ChatRequest;
  /** Whether the work goes on when the caller leaves: true for what may not be repeated. */
  outlivesCaller: boolean;
  onSettled?: (settlement: Settlement) => void;
}

/** The head of the prompt: what requests of one catalogue or contract share. */
function getPrefixHash(chat: ChatRequest): number {
  const content = chat.messages[0]?.content;
  const text = typeof content === 'string' ? content : JSON.stringify(content ?? '');
  return getHash(text.slice(0, routerOptions.prefixLength));
}

function getScheduledRequest({ call, chat }: RunOrder): ScheduledRequest {
  return {
    id: call.requestId,
    service: call.service.name,
    model: chat?.model,
    workspace: call.workspace.name,
    workspaceWeight: call.workspace.weight,
    serviceClass: call.serviceClass,
    prefixHash: chat === undefined ? undefined : getPrefixHash(chat),
    resumable: chat !== undefined,
    arrivedAt: call.arrived,
  };
}

/**
 * Runs a call from the scheduler's queue to its settlement.
 *
 * @internal
 */
export class RequestRunner {
  private readonly parts: RunnerParts;

  constructor(parts: RunnerParts) {
    this.parts = parts;
  }

  /**
   * A request has begun to arrive; a shutdown waits for it.
   *
   * @returns to be called when it has been run or refused
   */
  enter(): () => void {
    return this.parts.scheduling.enter();
  }

  /** Submits a call; its work answers the caller. */
  run(order: RunOrder): void {
    const { scheduling, clock } = this.parts;
    const { call } = order;
    const request = getScheduledRequest(order);
    let firstProgress: number | undefined;
    const task = new RequestTask({
      request,
      work: order.work,
      clock,
      tell: (message) => scheduling.tell(message),
      onLoad: this.parts.onLoad,
      onSilent: (replica, path) => {
        this.parts.connections.condemn(replica, path);
        scheduling.tell({ kind: 'path-silent', replica: replica.id });
      },
      onLeaving: this.parts.onReplicaLeaving,
      onFirstProgress: () => {
        firstProgress = clock.now();
      },
      onSettled: (settlement) => this.settle(order, settlement, firstProgress),
      log: this.parts.log,
    });
    if (!order.outlivesCaller) {
      call.response.once('close', () => task.callerLeft());
    }
    scheduling.submit(task, { kind: 'submit', request });
    if (!order.outlivesCaller && call.response.closed) {
      // It left before we listened: no event will tell.
      task.callerLeft();
    }
  }

  private settle(order: RunOrder, settlement: Settlement, firstProgress: number | undefined): void {
    const { call, work, chat } = order;
    const { log, metrics, scheduling } = this.parts;
    scheduling.forget(call.requestId);
    const tokens = chat === undefined ? 0 : work.getDelivered();
    settle(metrics, call, settlement, { tokens, firstProgress });
    log('settle', {
      request: call.requestId,
      class: call.serviceClass.name,
      workspace: call.workspace.name,
      kind: settlement.kind,
      outcome: settlement.kind === 'given-up' ? settlement.outcome : undefined,
      tokens,
      firstTokenMs: firstProgress === undefined ? undefined : firstProgress - call.arrived,
    });
    order.onSettled?.(settlement);
  }
}
