import { Counter, Histogram } from 'prom-client';
import type { Registry } from 'prom-client';
import type { AdmissionRecord } from '../decide/admission/AdmissionRecord.js';
import { LabelSet } from './LabelSet.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** The metrics of what this daemon decides as the placer of groups of engines. */
export class AdmissionMetrics {
  private readonly decisions: Counter;

  private readonly promisedWait: Histogram;

  private readonly realWait: Histogram;

  private readonly tokens: Counter;

  private readonly workspaces = new LabelSet();

  constructor(registry: Registry, buckets: number[]) {
    const registers = [registry];
    this.decisions = new Counter({
      name: 'apricotrill_relay_admission_decisions_total',
      help: 'Decisions of this placer about requests of all daemons, by service, decision and reason.',
      labelNames: ['service', 'decision', 'reason'],
      registers,
    });
    this.promisedWait = new Histogram({
      name: 'apricotrill_relay_admission_promised_wait_seconds',
      help: 'Of requests that waited and began: the wait that was promised, from the decision to wait.',
      labelNames: ['service'],
      buckets,
      registers,
    });
    this.realWait = new Histogram({
      name: 'apricotrill_relay_admission_real_wait_seconds',
      help: 'Of requests that waited and began: the real wait, from the decision to wait.',
      labelNames: ['service'],
      buckets,
      registers,
    });
    this.tokens = new Counter({
      name: 'apricotrill_relay_admission_tokens_total',
      help: 'Prompt tokens that engines had to prefill for requests that began, by workspace.',
      labelNames: ['workspace'],
      registers,
    });
  }

  /** Counts a decision. */
  record(decided: AdmissionRecord): void {
    const { service, decision, reason, expectedWait, queuedFor } = decided;
    this.decisions.inc({ service, decision, reason: reason ?? '' });
    if (decision !== 'begin') {
      return;
    }
    const workspace = this.workspaces.get(decided.workspace);
    this.tokens.inc({ workspace }, decided.missingTokens ?? 0);
    if (expectedWait !== undefined && queuedFor !== undefined) {
      this.promisedWait.observe({ service }, expectedWait / MILLISECONDS_PER_SECOND);
      this.realWait.observe({ service }, queuedFor / MILLISECONDS_PER_SECOND);
    }
  }
}
