import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { LoadReport } from '@apricotrill/relay';
import type { MachineNoise } from './MachineNoise.js';

/** A plain request sent to a replica, with the callback for its end. */
export interface ApplicationRequest {
  key: string;
  serviceTime: Milliseconds;
  onEnd: () => void;
}

/** Further requests are refused. */
const MAX_WAITING_PER_SLOT = 4;

/** Simulates a replica of a plain service on a virtual clock: a fixed number of slots and a queue. */
export class ApplicationSimulation {
  private readonly running = new Set<string>();

  private waiting: ApplicationRequest[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly slots: number,
    /** Undefined if no others use its machine. */
    private readonly noise?: MachineNoise,
  ) {}

  get load(): LoadReport {
    const { running, waiting, slots, noise } = this;
    const load = { running: running.size, waiting: waiting.length, slots };
    return noise === undefined ? load : { ...load, slowdown: noise.getSlowdown(this.clock.now()) };
  }

  /** @returns false when the queue is full */
  submit(request: ApplicationRequest): boolean {
    if (this.waiting.length >= this.slots * MAX_WAITING_PER_SLOT) {
      return false;
    }
    this.waiting.push(request);
    this.startWaiting();
    return true;
  }

  cancel(key: string): void {
    this.waiting = this.waiting.filter((request) => request.key !== key);
    if (this.running.delete(key)) {
      this.startWaiting();
    }
  }

  private startWaiting(): void {
    while (this.running.size < this.slots && this.waiting.length > 0) {
      const request = this.waiting.shift()!;
      this.running.add(request.key);
      const slowdown = this.noise?.getSlowdown(this.clock.now()) ?? 1;
      this.clock.setTimer(request.serviceTime * slowdown, () => {
        if (this.running.delete(request.key)) {
          request.onEnd();
          this.startWaiting();
        }
      });
    }
  }
}
