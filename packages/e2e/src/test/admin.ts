import { request } from 'undici';

interface Daemon {
  adminPort: number;
}

/** A service in the status of the admin interface. */
interface ServiceStatus {
  service: string;
  waiting: Record<string, number>;
  running: Record<string, number>;
  replicas: { id: string; leaving: boolean; running: number }[];
}

/** The status of a daemon in its admin interface. */
interface DaemonStatus {
  inFlight: number;
  stopping: boolean;
  scheduler: { services: ServiceStatus[] };
}

/** Requests the status of a daemon from its admin interface. */
export async function getStatus({ adminPort }: Daemon): Promise<DaemonStatus> {
  const response = await request(`http://127.0.0.1:${adminPort}/admin/status`);
  return (await response.body.json()) as DaemonStatus;
}

/** Polls the status of a service until it matches. */
export async function waitForService(
  daemon: Daemon,
  name: string,
  matches: (service: ServiceStatus) => boolean,
): Promise<ServiceStatus> {
  const { scheduler } = await getStatus(daemon);
  const service = scheduler.services.find((each) => each.service === name)!;
  return matches(service) ? service : waitForService(daemon, name, matches);
}

/** Returns the HTTP status of the readiness endpoint. */
export async function getReadiness({ adminPort }: Daemon): Promise<number> {
  const response = await request(`http://127.0.0.1:${adminPort}/ready`);
  await response.body.dump();
  return response.statusCode;
}

/** Returns the value of one metric series, or 0 if the series does not exist. */
export async function getMetric({ adminPort }: Daemon, series: string): Promise<number> {
  const response = await request(`http://127.0.0.1:${adminPort}/metrics`);
  const lines = (await response.body.text()).split('\n');
  return Number(lines.find((line) => line.startsWith(`${series} `))?.split(' ')[1] ?? 0);
}
