import { ManualClock } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import { admissionOptions } from '../lib/decide/admission/admissionOptions.js';
import type { AdmissionOptions } from '../lib/decide/admission/admissionOptions.js';
import type { AdmissionDecision, Applicant } from '../lib/decide/admission/Applicant.js';
import { EngineAdmission } from '../lib/decide/admission/EngineAdmission/EngineAdmission.js';
import { chooseReplica } from '../lib/decide/chooseReplica.js';
import { placementOptions } from '../lib/decide/placementOptions.js';
import { EngineStatistics } from '../lib/decide/PrefillEstimator/EngineStatistics.js';
import { ReplicaState } from '../lib/decide/ReplicaState/ReplicaState.js';
import { createReplayApplicant } from './createReplayApplicant.js';
import { createEngineService, createReplica } from './fixtures.js';
import { ReplayEngine } from './ReplayEngine.js';
import type { ReplayPace } from './ReplayEngine.js';

const SECOND: Milliseconds = 1_000;

/** How a {@link AdmissionReplay} is set up. */
export interface ReplaySetup {
  engines: number;
  slots: number;
  pace: ReplayPace;
  options: Partial<AdmissionOptions>;
  /** How often a refused caller returns. */
  maxReturns: number;
  /** Replaces admission by sending each request at once. */
  isUnbounded: boolean;
}

/** Requests that arrive at even intervals. */
export interface ReplayLoad {
  from: Milliseconds;
  until: Milliseconds;
  perSecond: number;
  workspace?: string;
  rank?: number;
  latencyTarget?: Milliseconds;
  /** Time from the arrival until the caller gives up. */
  timeout?: Milliseconds;
  tokens?: number;
}

/** A refusal, and when it was decided. */
type ReplayRefusal = Extract<AdmissionDecision, { kind: 'refuse' }> & { decidedAt: Milliseconds };

/** A caller's request, over all its attempts. */
export interface ReplayCall {
  load: ReplayLoad;
  firstArrivedAt: Milliseconds;
  /** When the attempt arrived that got a response, or the last one. */
  arrivedAt: Milliseconds;
  firstTokenAt: Milliseconds | undefined;
  refusals: ReplayRefusal[];
  attempts: number;
}

/** Plays loads against a few engines with admission, on a manual clock. */
export class AdmissionReplay {
  readonly clock = new ManualClock();

  readonly calls: ReplayCall[] = [];

  readonly decisions: AdmissionDecision[] = [];

  readonly engines: ReplayEngine[];

  readonly admission: EngineAdmission;

  readonly faults: unknown[] = [];

  /** The applicant about which every choice fails by an unexpected error. */
  failingApplicant: string | undefined;

  /** Whether each look at the engines fails by an unexpected error. */
  isFailing = false;

  /** States of the engines in service. */
  private states: readonly ReplicaState[];

  private readonly setup: ReplaySetup;

  private readonly service = createEngineService('llm');

  private readonly open = new Map<string, ReplayCall>();

  constructor(setup: Partial<ReplaySetup> = {}) {
    const pace = { tokenTime: 0.025, responseTime: 200 };
    const defaults = { engines: 8, slots: 8, pace, options: {}, maxReturns: 0 };
    this.setup = { ...defaults, isUnbounded: false, ...setup };
    this.service.engine!.slots = this.setup.slots;
    this.engines = this.createEngines();
    this.states = this.engines.map(({ state }) => state);
    this.admission = new EngineAdmission({
      clock: this.clock,
      options: { ...admissionOptions, ...this.setup.options },
      getEngines: () => this.states,
      getGroupEngines: () => {
        if (this.isFailing) {
          throw new Error('provoked error');
        }
        return this.states;
      },
      getProfile: () => this.service.engine,
      choose: ({ id, criteria }, candidates) => {
        if (id === this.failingApplicant) {
          throw new Error('provoked error');
        }
        return this.choose(criteria, candidates);
      },
      onDecision: (decision) => this.handleDecision(decision),
      onFault: (error) => this.recordFault(error),
    });
  }

  /** Plays loads to their end, and until all engines are idle. */
  play(loads: readonly ReplayLoad[]): void {
    loads.forEach((load) => this.schedule(load));
    const end = Math.max(...loads.map(({ until }) => until));
    this.clock.advance(end + 30 * SECOND);
  }

  /** Takes an engine out of service; what runs there goes on. */
  loseEngine(index: number): void {
    const { state } = this.engines[index]!;
    this.states = this.states.filter((other) => other !== state);
    this.admission.review();
  }

  /** Share of the calls that were served in time, among those that first arrived in a span. */
  getInTimeShare(filter: (call: ReplayCall) => boolean = () => true): number {
    const calls = this.calls.filter(filter);
    return calls.filter((call) => AdmissionReplay.isInTime(call)).length / calls.length;
  }

  static isInTime({ firstTokenAt, arrivedAt, load }: ReplayCall): boolean {
    return firstTokenAt !== undefined && firstTokenAt <= arrivedAt + (load.latencyTarget ?? 600);
  }

  /** @throws an error that was not provoked */
  private recordFault(error: unknown): void {
    if (!this.isFailing && this.failingApplicant === undefined) {
      throw error;
    }
    this.faults.push(error);
  }

  private createEngines(): ReplayEngine[] {
    const statistics = new EngineStatistics();
    statistics.profile = this.service.engine;
    return Array.from({ length: this.setup.engines }, (_item, index) => {
      const replica = createReplica(`e-${index}`, { service: 'llm', slots: this.setup.slots });
      const state = new ReplicaState(replica, placementOptions, statistics);
      state.cache.replace([]);
      return new ReplayEngine(state, this.clock, this.setup.pace, () => this.admission.review());
    });
  }

  private schedule(load: ReplayLoad): void {
    const { from, until, perSecond } = load;
    const count = Math.round(((until - from) * perSecond) / SECOND);
    for (let index = 0; index < count; index += 1) {
      this.clock.setTimer(from + (index * SECOND) / perSecond, () => this.arrive(load));
    }
  }

  private arrive(load: ReplayLoad): void {
    const now = this.clock.now();
    const call = { load, firstArrivedAt: now, arrivedAt: now, firstTokenAt: undefined };
    const added: ReplayCall = { ...call, refusals: [], attempts: 0 };
    this.calls.push(added);
    this.attempt(added, this.calls.length);
  }

  private attempt(call: ReplayCall, number: number): void {
    const applicant = this.createApplicant(call, number);
    Object.assign(call, { attempts: call.attempts + 1, arrivedAt: applicant.arrivedAt });
    this.open.set(applicant.id, call);
    if (this.setup.isUnbounded) {
      this.sendAtOnce(applicant);
    } else {
      this.admission.submit(applicant);
    }
  }

  /** Sends a request to the best engine, whatever waits there. */
  sendAtOnce(applicant: Applicant): void {
    const chosen = this.choose(applicant.criteria, this.states)!;
    this.handleDecision({ kind: 'begin', applicant, chosen });
  }

  private createApplicant({ load, attempts }: ReplayCall, number: number): Applicant {
    const { rank, latencyTarget, workspace = 'w', tokens, timeout = 5_000 } = load;
    const now = this.clock.now();
    return {
      ...createReplayApplicant(`part-${number}`, { rank, latencyTarget, tokens }),
      id: `${number}-${attempts}`,
      workspace,
      arrivedAt: now,
      deadline: now + timeout,
    };
  }

  private choose(request: Applicant['criteria'], candidates: readonly ReplicaState[]) {
    const { service, clock } = this;
    return chooseReplica({
      request,
      service,
      candidates,
      now: clock.now(),
      options: placementOptions,
    });
  }

  private handleDecision(decision: AdmissionDecision): void {
    const { id, criteria } = decision.applicant;
    this.decisions.push(decision);
    const call = this.open.get(id);
    switch (decision.kind) {
      case 'begin': {
        const engine = this.engines.find(({ state }) => state === decision.chosen.state)!;
        engine.begin(decision.chosen, criteria, () => {
          Object.assign(call ?? {}, { firstTokenAt: this.clock.now() });
        });
        break;
      }
      case 'refuse':
        this.returnLater(call, { ...decision, decidedAt: this.clock.now() });
        break;
      case 'wait':
        break;
      default:
        decision satisfies never;
    }
  }

  private returnLater(call: ReplayCall | undefined, decision: ReplayRefusal): void {
    if (call === undefined) {
      return;
    }
    call.refusals.push(decision);
    if (call.refusals.length <= this.setup.maxReturns) {
      const number = Number(decision.applicant.id.split('-')[0]);
      this.clock.setTimer(decision.retryAfter, () => this.attempt(call, number));
    }
  }
}
