import { getHash } from '@apricotrill/utils';
import type { Clock } from '@apricotrill/utils';
import type { ScheduledRequest } from '@apricotrill/policy';
import type { DecisionLog } from '../observe/DecisionLog.js';
import type { RouterMetrics } from '../observe/RouterMetrics.js';
import { defaultRouterOptions } from '../options.js';
import type { IdentifiedCall } from '../pipeline/IdentifiedCall.js';
import { settle } from '../pipeline/settle.js';
import type { LoadListener } from '../upstream/Attempt.js';
import type { ReplicaConnections } from '../upstream/ReplicaConnections.js';
import type { ChatRequest } from './ChatRequest.js';
import { RequestTask } from './RequestTask.js';
import type { Settlement } from './RequestTask.js';
import type { RequestExecution } from './RequestExecution.js';
import type { SchedulingTask } from './SchedulingTask.js';

/**
 * Settings of a {@link RequestRunner}.
 *
 * @internal
 */
export interface RequestRunnerSettings {
  clock: Clock;
  connections: ReplicaConnections;
  scheduling: SchedulingTask;
  metrics: RouterMetrics;
  log: DecisionLog;
  onLoad: LoadListener;
  onReplicaLeaving: (replica: string) => void;
}

/**
 * The request to run, and how to run it.
 *
 * @internal
 */
export interface RunOptions {
  call: IdentifiedCall;
  execution: RequestExecution;
  chat?: ChatRequest;
  /** Whether execution continues when the caller disconnects: true for non-repeatable requests. */
  continuesWithoutCaller: boolean;
  onSettled?: (settlement: Settlement) => void;
}

/** Hashes the start of the prompt, which requests about the same catalogue or contract share. */
function getPrefixHash(chat: ChatRequest): number {
  const content = chat.messages[0]?.content;
  const text = typeof content === 'string' ? content : JSON.stringify(content ?? '');
  return getHash(text.slice(0, defaultRouterOptions.prefixCharacters));
}

function getScheduledRequest({ call, chat }: RunOptions): ScheduledRequest {
  return {
    id: call.requestId,
    service: call.service.name,
    model: chat?.model,
    workspace: call.workspace.name,
    workspaceWeight: call.workspace.weight,
    serviceClass: call.serviceClass,
    prefixHash: chat === undefined ? undefined : getPrefixHash(chat),
    resumable: chat !== undefined,
    arrivedAt: call.arrivedAt,
  };
}

/**
 * Runs requests from their submission to the scheduler to their settlement.
 *
 * @internal
 */
export class RequestRunner {
  private readonly settings: RequestRunnerSettings;

  constructor(settings: RequestRunnerSettings) {
    this.settings = settings;
  }

  /**
   * Counts a request that has begun to arrive, so that a shutdown waits for it.
   *
   * @returns a function to call when the request has been run or rejected
   */
  trackArrival(): () => void {
    return this.settings.scheduling.trackArrival();
  }

  /** Submits a request to the scheduler; its execution responds to the caller. */
  run(options: RunOptions): void {
    const { scheduling, clock } = this.settings;
    const { call } = options;
    const request = getScheduledRequest(options);
    let firstProgressAt: number | undefined;
    const task = new RequestTask({
      request,
      execution: options.execution,
      clock,
      notifyScheduler: (message) => scheduling.notifyScheduler(message),
      onLoad: this.settings.onLoad,
      onSilentConnection: (replica, dispatcher) => {
        this.settings.connections.replacePool(replica, dispatcher);
        scheduling.notifyScheduler({ kind: 'path-silent', replica: replica.id });
      },
      onReplicaLeaving: this.settings.onReplicaLeaving,
      onFirstProgress: () => {
        firstProgressAt = clock.now();
      },
      onSettled: (settlement) => this.settle(options, settlement, firstProgressAt),
      log: this.settings.log,
    });
    if (!options.continuesWithoutCaller) {
      call.response.once('close', () => task.handleCallerLeft());
    }
    scheduling.submit(task, { kind: 'submit', request });
    if (!options.continuesWithoutCaller && call.response.closed) {
      // The caller disconnected before the listener was added, so no event will follow.
      task.handleCallerLeft();
    }
  }

  private settle(
    options: RunOptions,
    settlement: Settlement,
    firstProgressAt: number | undefined,
  ): void {
    const { call, execution, chat } = options;
    const { log, metrics, scheduling } = this.settings;
    scheduling.remove(call.requestId);
    const tokens = chat === undefined ? 0 : execution.getDeliveredTokens();
    settle(metrics, call, settlement, { tokens, firstProgressAt });
    log('settle', {
      request: call.requestId,
      class: call.serviceClass.name,
      workspace: call.workspace.name,
      kind: settlement.kind,
      outcome: settlement.kind === 'given-up' ? settlement.outcome : undefined,
      tokens,
      firstTokenMs: firstProgressAt === undefined ? undefined : firstProgressAt - call.arrivedAt,
    });
    options.onSettled?.(settlement);
  }
}
