import { ServiceKind } from '@apricotrill/model';
import type { Replica } from '@apricotrill/model';
import type { LoadReport } from '@apricotrill/policy';
import { assert } from '@apricotrill/utils';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { Deployment } from '../deployments/Deployment.js';
import { EngineModel } from '../replicas/EngineModel/EngineModel.js';
import type { Job, JobOutput, Load, ReplicaModel } from '../replicas/ReplicaModel.js';
import { ServiceModel } from '../replicas/ServiceModel/ServiceModel.js';

/** Interval at which the load of each replica is sampled. */
const SAMPLE_INTERVAL: Milliseconds = 100;

/** Maximum number of samples kept for each replica: enough for a report lag of 20 s. */
const MAX_SAMPLES = 200;

/** Receives the outputs of an attempt, or the loss of its connection, on the daemon side. */
export interface AttemptOwner {
  onOutputs(outputs: JobOutput[]): void;
  onConnectionLost(key: string): void;
}

interface LoadSample extends Load {
  measuredAt: Milliseconds;
}

interface Member {
  replica: Replica;
  model: ReplicaModel;
  alive: boolean;
  samples: LoadSample[];
}

/** The result of submitting a job to a replica. */
export enum SubmitResult {
  Accepted = 'accepted',
  Refused = 'refused',
  /** The connection was refused: no process listens at the address. */
  Unreachable = 'unreachable',
}

/**
 * All backend servers of a deployment, and the connections of the daemons to them.
 *
 * @example
 * ```ts
 * const fleet = new Fleet(clock, liitto, ({ key, units, finished }) =>
 *   callers.addComputed(key, units, finished),
 * );
 * ```
 * @internal
 */
export class Fleet {
  private readonly members = new Map<string, Member>();

  private readonly owners = new Map<string, AttemptOwner>();

  /** Minimum age of the load reports that daemons get. */
  private reportLag: Milliseconds = 300;

  constructor(
    private readonly clock: Clock,
    private readonly deployment: Deployment,
    private readonly onComputed: (output: JobOutput) => void,
  ) {
    deployment.configuration.register.replicas.forEach((replica) => {
      const model = this.createModel(replica);
      this.members.set(replica.id, { replica, model, alive: true, samples: [] });
    });
    this.sample();
  }

  submit(replicaId: string, job: Job, owner: AttemptOwner): SubmitResult {
    const member = this.getMember(replicaId);
    if (!member.alive) {
      return SubmitResult.Unreachable;
    }
    if (!member.model.submit(job)) {
      return SubmitResult.Refused;
    }
    this.owners.set(job.key, owner);
    return SubmitResult.Accepted;
  }

  cancel(replicaId: string, key: string): void {
    this.owners.delete(key);
    this.getMember(replicaId).model.cancel(key);
  }

  /** The newest report at least as old as the report lag; undefined for a crashed replica. */
  getReport(replicaId: string): LoadReport | undefined {
    const { alive, samples } = this.getMember(replicaId);
    const latestMeasuredAt = this.clock.now() - this.reportLag;
    const sample = samples.findLast(({ measuredAt }) => measuredAt <= latestMeasuredAt);
    if (!alive || sample === undefined) {
      return undefined;
    }
    return { replica: replicaId, ...sample };
  }

  getReplicas(service?: string): Replica[] {
    const replicas = [...this.members.values()].map(({ replica }) => replica);
    return replicas.filter((replica) => service === undefined || replica.service === service);
  }

  isAlive(replicaId: string): boolean {
    return this.getMember(replicaId).alive;
  }

  setReportLag(lag: Milliseconds): void {
    this.reportLag = lag;
  }

  setSlowFactor(replicaId: string, factor: number): void {
    this.getMember(replicaId).model.setSlowFactor(factor);
  }

  crash(replicaId: string): void {
    const member = this.getMember(replicaId);
    member.alive = false;
    member.samples = [];
    member.model.crash().forEach((key) => {
      const owner = this.owners.get(key);
      this.owners.delete(key);
      if (owner !== undefined) {
        this.clock.setTimer(this.deployment.networkDelay, () => owner.onConnectionLost(key));
      }
    });
  }

  restart(replicaId: string): void {
    this.getMember(replicaId).alive = true;
  }

  private createModel(replica: Replica): ReplicaModel {
    const { services } = this.deployment.configuration.register;
    const service = services.find(({ name }) => name === replica.service);
    const listener = (outputs: JobOutput[]) => this.deliver(outputs);
    if (service?.kind === ServiceKind.Plain) {
      return new ServiceModel(this.clock, replica.slots, listener);
    }
    return new EngineModel(this.clock, this.deployment.engine, listener);
  }

  /** Delivers outputs to the daemons that own the attempts, in one batch for each daemon. */
  private deliver(outputs: JobOutput[]): void {
    const byOwner = new Map<AttemptOwner, JobOutput[]>();
    outputs.forEach((output) => {
      this.onComputed(output);
      const owner = this.owners.get(output.key);
      if (owner === undefined) {
        return;
      }
      if (output.finished) {
        this.owners.delete(output.key);
      }
      byOwner.set(owner, [...(byOwner.get(owner) ?? []), output]);
    });
    byOwner.forEach((own, owner) => {
      this.clock.setTimer(this.deployment.networkDelay, () => owner.onOutputs(own));
    });
  }

  private sample(): void {
    this.members.forEach(({ model, samples, alive }) => {
      if (!alive) {
        return;
      }
      samples.push({ ...model.getLoad(), measuredAt: this.clock.now() });
      if (samples.length > MAX_SAMPLES) {
        samples.shift();
      }
    });
    this.clock.setTimer(SAMPLE_INTERVAL, () => this.sample());
  }

  private getMember(replicaId: string): Member {
    const member = this.members.get(replicaId);
    assert(member !== undefined, `replica ${replicaId} is in the register`);
    return member;
  }
}
