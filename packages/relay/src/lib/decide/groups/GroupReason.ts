/** Why a request is sent to a group of replicas. */
export enum GroupReason {
  /** It is the home group of the request's session. */
  Home = 'home',
  /** No session ties the request to a group, and this one is in the daemon's zone and has room. */
  Room = 'room',
  /** The wait in the home group costs more than sending the request elsewhere. */
  Wait = 'wait',
  /** The group that was asked first had no room for the request or refused it. */
  Refused = 'refused',
}
