import type { FleetDaemon } from './FleetDaemon.js';

/** Sends each call to the next daemon that says it is ready, as the platform's balancer does. */
export class Balancer {
  private next = 0;

  constructor(private readonly daemons: readonly FleetDaemon[]) {}

  async pick(): Promise<FleetDaemon> {
    const daemon = this.daemons[this.next % this.daemons.length]!;
    this.next += 1;
    return (await daemon.isReady()) ? daemon : this.pick();
  }
}
