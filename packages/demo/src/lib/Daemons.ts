import { parseSettings } from '@apricotrill/model';
import type { Settings } from '@apricotrill/model';
import { createRouterDaemon } from '@apricotrill/router';
import type { RouterDaemon } from '@apricotrill/router';

const HOST = '127.0.0.1';

/**
 * The ports of a daemon of the demo.
 *
 * @internal
 */
export interface DemoDaemon {
  id: string;
  port: number;
  adminPort: number;
}

/** The mesh address of a running daemon through which a new one joins. */
interface Seed {
  host: string;
  port: number;
}

interface StartedDaemon extends DemoDaemon {
  meshPort: number;
}

function createSettings(values: Record<string, unknown>): Settings {
  const result = parseSettings(JSON.stringify(values), 'demo');
  if (!result.ok) {
    throw new Error(result.error.map(({ reason }) => reason).join('; '));
  }
  return result.value;
}

/**
 * Router daemons in this process, connected over the mesh like daemons in separate processes.
 *
 * @internal
 */
export class Daemons {
  private readonly daemons: RouterDaemon[] = [];

  /** Starts one daemon in each availability zone. */
  async start(platformUrl: string, region: string, zones: string[]): Promise<DemoDaemon[]> {
    const startNext = (index: number, seeds: Seed[]) =>
      this.startDaemon({
        id: `daemon-${index + 1}`,
        region,
        availabilityZone: zones[index],
        host: HOST,
        port: 0,
        adminPort: 0,
        meshPort: 0,
        platformUrl,
        seeds,
      });
    const first = await startNext(0, []);
    const seeds = [{ host: HOST, port: first.meshPort }];
    const others = zones.slice(1).map((_zone, index) => startNext(index + 1, seeds));
    return [first, ...(await Promise.all(others))];
  }

  async dispose(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.dispose()));
  }

  private async startDaemon(
    values: { id: string } & Record<string, unknown>,
  ): Promise<StartedDaemon> {
    const daemon = createRouterDaemon(createSettings(values));
    this.daemons.push(daemon);
    const ports = await daemon.start();
    if (ports?.meshPort === undefined) {
      throw new Error(`${values.id} was stopped before it had started`);
    }
    return { id: values.id, ...ports, meshPort: ports.meshPort };
  }
}
