import { ServiceKind } from '@apricotrill/model';
import type { Configuration, Workspace } from '@apricotrill/model';

const HASH_DIGITS = 64;

function createWorkspace(index: number): Workspace {
  const hash = index.toString(16).padStart(HASH_DIGITS, '0');
  return { name: `workspace-${index}`, apiKeyHashes: [hash], weight: 1 };
}

/** Creates a configuration of one service; each workspace has one class rule. */
export function createConfiguration(replicas: number, workspaces: number): Configuration {
  const service = {
    name: 'kielimalli',
    kind: ServiceKind.Model,
    region: 'etela-suomi',
    models: ['kielimalli'],
    costPerThousandTokens: 0.4,
    costPerRequest: 0,
  };
  const serviceClass = {
    name: 'short-question',
    tier: 2,
    target: { firstToken: 800, tokenGap: 60 },
    deadline: 10000,
    floor: 0.1,
    preemptible: false,
    repeatable: true,
  };
  return {
    register: {
      services: [service],
      replicas: Array.from({ length: replicas }, (_, index) => ({
        id: `replica-${index}`,
        service: service.name,
        availabilityZone: 'espoo',
        host: '127.0.0.1',
        port: index + 1,
        slots: 16,
        checksFencing: true,
        placement: ['kielimalli@3'],
      })),
      workspaces: Array.from({ length: workspaces }, (_, index) => createWorkspace(index)),
    },
    rules: {
      classes: [serviceClass],
      classRules: Array.from({ length: workspaces }, (_, index) => ({
        service: service.name,
        class: serviceClass.name,
        workspace: `workspace-${index}`,
      })),
    },
  };
}

/** Returns the configuration with the weight of one workspace set: the smallest possible edit. */
export function setWeight(configuration: Configuration, name: string, weight: number) {
  const { register } = configuration;
  const workspaces = register.workspaces.map((workspace) =>
    workspace.name === name ? { ...workspace, weight } : workspace,
  );
  return { ...configuration, register: { ...register, workspaces } };
}
