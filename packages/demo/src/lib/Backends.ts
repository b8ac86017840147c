import type { Configuration, Replica, Workspace } from '@apricotrill/model';
import { ServiceKind } from '@apricotrill/model';
import { createEngineStandin, createServiceStandin } from '@apricotrill/standins';
import { createHash } from 'node:crypto';

interface Standin {
  listen(): Promise<{ host: string; port: number }>;
  dispose(): Promise<void>;
}

/** Returns the API key of a workspace in the demo. */
export function getDemoKey(workspace: string): string {
  return `demo-key-of-${workspace}`;
}

function addDemoKey(workspace: Workspace): Workspace {
  const hash = createHash('sha256').update(getDemoKey(workspace.name)).digest('hex');
  return { ...workspace, apiKeyHashes: [hash] };
}

/**
 * Embedded stand-ins for all replicas of a configuration.
 *
 * @internal
 */
export class Backends {
  private readonly standins: Standin[] = [];

  /** Starts the stand-ins and returns the configuration with their addresses and the demo keys. */
  async start(configuration: Configuration): Promise<Configuration> {
    const { register, rules } = configuration;
    const modelServices = new Set(
      register.services.filter(({ kind }) => kind === ServiceKind.Model).map(({ name }) => name),
    );
    const replicas = await Promise.all(
      register.replicas.map((replica) =>
        this.startReplica(replica, modelServices.has(replica.service)),
      ),
    );
    const workspaces = register.workspaces.map(addDemoKey);
    return { register: { ...register, replicas, workspaces }, rules };
  }

  async dispose(): Promise<void> {
    await Promise.all(this.standins.map((standin) => standin.dispose()));
  }

  private async startReplica(replica: Replica, isEngine: boolean): Promise<Replica> {
    const { slots, service, checksFencing } = replica;
    const standin = isEngine
      ? createEngineStandin({ slots, checksFencing })
      : createServiceStandin({ slots, service });
    this.standins.push(standin);
    return { ...replica, ...(await standin.listen()) };
  }
}
