/** An update that tells other daemons whether this one reaches any replica. */
export interface PathUpdate {
  kind: 'isolation';
  isIsolated: boolean;
}
