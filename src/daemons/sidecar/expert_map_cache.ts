import {initialMap, findMapErrors} from '../../expert_groups/index.js';
import type {
  ExpertMap,
  GroupMessage,
  GroupShape,
  MapVersion,
} from '../../expert_groups/index.js';

type MapMessage = Extract<GroupMessage, {type: 'group_map'}>;

/** Enough for the maps in use, the next and the previous one. */
const MAX_MAPS = 4;

/** Cache of expert maps by version. */
export class ExpertMapCache {
  private readonly maps = new Map<MapVersion, ExpertMap>();

  /** @param shape - sizes of the group */
  constructor(private readonly shape: GroupShape) {}

  /**
   * Returns a map, if it is cached.
   * @param version - version of the map
   */
  get(version: MapVersion): ExpertMap | undefined {
    return version === 0 ? initialMap(this.shape) : this.maps.get(version);
  }

  /**
   * Caches a map if it is valid.
   * @param map - the map
   * @returns whether the map was cached
   */
  add(map: ExpertMap): boolean {
    if (findMapErrors(map, this.shape).length > 0) return false;
    this.maps.set(map.version, map);
    for (const version of this.maps.keys()) {
      if (this.maps.size <= MAX_MAPS) break;
      this.maps.delete(version);
    }
    return true;
  }

  /**
   * Decodes and caches a map from a message.
   * @param message - the message
   * @returns whether the map was cached
   */
  addMessage({map, slotsPerRank, layers}: MapMessage): boolean {
    const unpacked = layers.map(
      bytes => new Uint16Array(Uint8Array.from(bytes).buffer),
    );
    return this.add({version: map, slotsPerRank, layers: unpacked});
  }
}

/**
 * Encodes a map as a message.
 * @param group - name of the group
 * @param map - the map
 */
export function encodeMapMessage(group: string, map: ExpertMap): MapMessage {
  const {version, slotsPerRank} = map;
  const layers = map.layers.map(
    layer => new Uint8Array(Uint16Array.from(layer).buffer),
  );
  return {type: 'group_map', group, map: version, slotsPerRank, layers};
}
