import { parseSettings } from '@apricotrill/model';
import type { Settings } from '@apricotrill/model';
import { createRouterDaemon } from '@apricotrill/router';
import type { RouterDaemon } from '@apricotrill/router';
import { getFreePort } from '@apricotrill/standins';

const HOST = '127.0.0.1';

/**
 * Where a daemon of the demo is reached.
 *
 * @internal
 */
export interface DemoDaemon {
  id: string;
  port: number;
  adminPort: number;
}

function createSettings(values: Record<string, unknown>): Settings {
  const result = parseSettings(JSON.stringify(values), 'demo');
  if (!result.ok) {
    throw new Error(result.error.map(({ reason }) => reason).join('; '));
  }
  return result.value;
}

/**
 * Router daemons in this process; they meet one another over the mesh like separate ones.
 *
 * @internal
 */
export class Daemons {
  private readonly daemons: RouterDaemon[] = [];

  /** Starts one daemon in each of the availability zones. */
  async start(platformUrl: string, region: string, zones: string[]): Promise<DemoDaemon[]> {
    const meshPorts = await Promise.all(zones.map(() => getFreePort(HOST)));
    const seeds = meshPorts.map((port) => ({ host: HOST, port }));
    return Promise.all(
      zones.map((availabilityZone, index) =>
        this.startOne({
          id: `daemon-${index + 1}`,
          region,
          availabilityZone,
          host: HOST,
          port: 0,
          adminPort: 0,
          meshPort: meshPorts[index],
          platformUrl,
          seeds,
        }),
      ),
    );
  }

  async dispose(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.dispose()));
  }

  private async startOne(values: { id: string } & Record<string, unknown>): Promise<DemoDaemon> {
    const daemon = createRouterDaemon(createSettings(values));
    this.daemons.push(daemon);
    const ports = await daemon.start();
    return { id: values.id, ...ports };
  }
}
