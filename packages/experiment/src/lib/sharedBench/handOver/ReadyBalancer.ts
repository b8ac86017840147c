import type { Milliseconds } from '@apricotrill/utils';
import type { DaemonProcess } from '../processes/DaemonProcess.js';
import { wait } from '../processes/waitUntil.js';

/** How often each daemon is asked. Half a second is brisk for a platform's balancer. */
const ASK_INTERVAL: Milliseconds = 500;

/**
 * The platform's balancer in small: asks each daemon whether it is ready and deals calls out to
 * those that were when last asked. It repeats no call, so that whatever a daemon loses is seen.
 *
 * @internal
 */
export class ReadyBalancer {
  private readonly ready = new Set<DaemonProcess>();

  private turn = 0;

  private stopped = false;

  private constructor(private readonly daemons: readonly DaemonProcess[]) {}

  /** Resolves once every daemon was asked. */
  static async start(daemons: readonly DaemonProcess[]): Promise<ReadyBalancer> {
    const balancer = new ReadyBalancer(daemons);
    await Promise.all(daemons.map((daemon) => balancer.ask(daemon)));
    daemons.forEach((daemon) => {
      balancer.follow(daemon);
    });
    return balancer;
  }

  /** The next ready daemon; undefined when none is. */
  pick(): DaemonProcess | undefined {
    for (let index = 0; index < this.daemons.length; index += 1) {
      this.turn = (this.turn + 1) % this.daemons.length;
      const daemon = this.daemons[this.turn]!;
      if (this.ready.has(daemon)) {
        return daemon;
      }
    }
    return undefined;
  }

  isSending(daemon: DaemonProcess): boolean {
    return this.ready.has(daemon);
  }

  stop(): void {
    this.stopped = true;
  }

  private async follow(daemon: DaemonProcess): Promise<void> {
    while (!this.stopped) {
      // eslint-disable-next-line no-await-in-loop -- one question after the other
      await wait(ASK_INTERVAL);
      // eslint-disable-next-line no-await-in-loop
      await this.ask(daemon);
    }
  }

  private async ask(daemon: DaemonProcess): Promise<void> {
    if (await daemon.isReady()) {
      this.ready.add(daemon);
    } else {
      this.ready.delete(daemon);
    }
  }
}
