import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client';
import { defaultRouterOptions } from '../options.js';

/** Histogram buckets in seconds, chosen around the latency targets, from gate checks to long drafts. */
const SECONDS_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 2.5, 5, 10, 30, 60];

/** The label shared by all workspaces beyond the first `maxWorkspaceLabels`. */
const OTHER_WORKSPACE = 'other';

/**
 * The metrics of a daemon: target attainment, goodput and wasted work by class and workspace, and the
 * spend on useful responses.
 *
 * @internal
 */
export class RouterMetrics {
  readonly registry = new Registry();

  private readonly workspaces = new Set<string>();

  private readonly requests = new Counter({
    name: 'apricotrill_requests_total',
    help: 'Requests that ended, by how they ended for the caller.',
    labelNames: ['class', 'workspace', 'outcome'] as const,
    registers: [this.registry],
  });

  readonly processFaults = new Counter({
    name: 'apricotrill_process_faults_total',
    help: 'Unexpected errors in this daemon that no handler has caught.',
    registers: [this.registry],
  });

  private readonly onTarget = new Counter({
    name: 'apricotrill_on_target_total',
    help: 'Whole answers whose first token came within the target of the class.',
    labelNames: ['class', 'workspace'] as const,
    registers: [this.registry],
  });

  private readonly firstToken = new Histogram({
    name: 'apricotrill_first_token_seconds',
    help: 'Time from arrival to the first token, or to the whole answer of a plain call.',
    labelNames: ['class'] as const,
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });

  private readonly usefulTokens = new Counter({
    name: 'apricotrill_useful_tokens_total',
    help: 'Tokens of whole answers: the goodput.',
    labelNames: ['class', 'workspace'] as const,
    registers: [this.registry],
  });

  private readonly wastedTokens = new Counter({
    name: 'apricotrill_wasted_tokens_total',
    help: 'Tokens that were computed and never used by a caller.',
    labelNames: ['class', 'reason'] as const,
    registers: [this.registry],
  });

  private readonly spend = new Counter({
    name: 'apricotrill_spend_total',
    help: "Spend in the operators' currency, on useful answers and on wasted work.",
    labelNames: ['class', 'use'] as const,
    registers: [this.registry],
  });

  private readonly generation = new Gauge({
    name: 'apricotrill_configuration_generation',
    help: 'The generation of the configuration in force.',
    registers: [this.registry],
  });

  constructor() {
    collectDefaultMetrics({ register: this.registry, prefix: 'apricotrill_' });
  }

  /** Records a request that has ended. */
  recordRequest(className: string, workspace: string, outcome: string): void {
    this.requests.inc({ class: className, workspace: this.getWorkspaceLabel(workspace), outcome });
  }

  /** Records a complete response: its tokens, its spend, and whether it met the latency target. */
  recordCompletedResponse(
    className: string,
    workspace: string,
    usage: { tokens: number; spend: number; onTarget: boolean },
  ): void {
    const label = this.getWorkspaceLabel(workspace);
    this.usefulTokens.inc({ class: className, workspace: label }, usage.tokens);
    this.spend.inc({ class: className, use: 'useful' }, usage.spend);
    if (usage.onTarget) {
      this.onTarget.inc({ class: className, workspace: label });
    }
  }

  /** Records the time to the first token, in seconds. */
  recordFirstToken(className: string, seconds: number): void {
    this.firstToken.observe({ class: className }, seconds);
  }

  /** Records tokens that were computed in vain. */
  recordWaste(className: string, reason: string, waste: { tokens: number; spend: number }): void {
    this.wastedTokens.inc({ class: className, reason }, waste.tokens);
    this.spend.inc({ class: className, use: 'wasted' }, waste.spend);
  }

  setGeneration(generation: number): void {
    this.generation.set(generation);
  }

  /**
   * Limits the number of time series. 3,500 workspaces times classes and outcomes would be a hundred
   * thousand series per daemon, more than its memory allows, so only the first workspaces seen get
   * their own label.
   */
  private getWorkspaceLabel(workspace: string): string {
    if (this.workspaces.has(workspace)) {
      return workspace;
    }
    if (this.workspaces.size < defaultRouterOptions.maxWorkspaceLabels) {
      this.workspaces.add(workspace);
      return workspace;
    }
    return OTHER_WORKSPACE;
  }
}
