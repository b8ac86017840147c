import { request } from 'undici';

interface Daemon {
  adminPort: number;
}

/** What the admin port shows of a service. */
interface ServiceStatus {
  service: string;
  waiting: Record<string, number>;
  running: Record<string, number>;
  replicas: { id: string; leaving: boolean; running: number }[];
}

/** What the admin port shows of a daemon. */
interface DaemonStatus {
  inFlight: number;
  stopping: boolean;
  scheduler: { services: ServiceStatus[] };
}

/** The status of a daemon as operators see it. */
export async function getStatus({ adminPort }: Daemon): Promise<DaemonStatus> {
  const response = await request(`http://127.0.0.1:${adminPort}/admin/status`);
  return (await response.body.json()) as DaemonStatus;
}

/** Asks for the status of a service until it is as wanted. */
export async function waitForService(
  daemon: Daemon,
  name: string,
  isIt: (service: ServiceStatus) => boolean,
): Promise<ServiceStatus> {
  const { scheduler } = await getStatus(daemon);
  const service = scheduler.services.find((each) => each.service === name)!;
  return isIt(service) ? service : waitForService(daemon, name, isIt);
}

/** The status of the readiness answer. */
export async function getReadiness({ adminPort }: Daemon): Promise<number> {
  const response = await request(`http://127.0.0.1:${adminPort}/ready`);
  await response.body.dump();
  return response.statusCode;
}

/** The value of one series of the metrics; 0 when there is none. */
export async function getMetric({ adminPort }: Daemon, series: string): Promise<number> {
  const response = await request(`http://127.0.0.1:${adminPort}/metrics`);
  const lines = (await response.body.text()).split('\n');
  return Number(lines.find((line) => line.startsWith(`${series} `))?.split(' ')[1] ?? 0);
}
