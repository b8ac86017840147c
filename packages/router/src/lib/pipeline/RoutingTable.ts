import { ClassMatcher, ServiceKind, WorkspaceDirectory } from '@apricotrill/model';
import type { Configuration, Replica, Service } from '@apricotrill/model';

/**
 * A configuration in the form the request path reads: every look-up of a request is a map access.
 * It is built once for each configuration put in force, and never changed.
 *
 * @internal
 */
export class RoutingTable {
  readonly workspaces: WorkspaceDirectory;

  readonly classes: ClassMatcher;

  readonly replicas: readonly Replica[];

  private readonly services: ReadonlyMap<string, Service>;

  private readonly servicesByModel: ReadonlyMap<string, Service>;

  constructor(configuration: Configuration) {
    const { register, rules } = configuration;
    this.workspaces = new WorkspaceDirectory(register.workspaces);
    this.classes = new ClassMatcher(rules);
    this.replicas = register.replicas;
    this.services = new Map(register.services.map((service) => [service.name, service]));
    this.servicesByModel = new Map(
      register.services.flatMap((service) => service.models.map((model) => [model, service])),
    );
  }

  /** The plain service of that name. */
  getPlainService(name: string): Service | undefined {
    const service = this.services.get(name);
    return service?.kind === ServiceKind.Plain ? service : undefined;
  }

  /** The service that serves a model. */
  getServiceOfModel(model: string): Service | undefined {
    return this.servicesByModel.get(model);
  }

  /** All models callers may ask for. */
  getModels(): string[] {
    return [...this.servicesByModel.keys()];
  }

  /** What a service costs. */
  getService(name: string): Service | undefined {
    return this.services.get(name);
  }
}
