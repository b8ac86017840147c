import type { FleetDaemon } from './FleetDaemon.js';

/** Picks the next ready daemon in turn for each call, as the platform's load balancer does. */
export class Balancer {
  private next = 0;

  constructor(private readonly daemons: readonly FleetDaemon[]) {}

  async pick(): Promise<FleetDaemon> {
    const daemon = this.daemons[this.next % this.daemons.length]!;
    this.next += 1;
    return (await daemon.isReady()) ? daemon : this.pick();
  }
}
