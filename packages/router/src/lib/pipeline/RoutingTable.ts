import { ClassMatcher, ServiceKind, WorkspaceDirectory } from '@apricotrill/model';
import type { Configuration, Replica, Service } from '@apricotrill/model';

/**
 * A configuration indexed for the request path, so that every lookup is a map access. Immutable: a
 * new table is built for each configuration that comes into force.
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

  /** Returns the plain service with the given name. */
  getPlainService(name: string): Service | undefined {
    const service = this.services.get(name);
    return service?.kind === ServiceKind.Plain ? service : undefined;
  }

  /** Returns the service that serves a model. */
  getServiceByModel(model: string): Service | undefined {
    return this.servicesByModel.get(model);
  }

  /** Returns the names of all models that callers may request. */
  getModels(): string[] {
    return [...this.servicesByModel.keys()];
  }

  /** Returns the service with the given name, of any kind. */
  getService(name: string): Service | undefined {
    return this.services.get(name);
  }
}
