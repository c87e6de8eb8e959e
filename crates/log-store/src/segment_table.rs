//! The table of open segments. Records refer to a segment by its slot in this table.

use crate::error::Error;
use crate::index::SegmentSlot;
use crate::segment::Segment;

/// The open segments by slot. The slot of a removed segment is reused.
#[derive(Debug, Default)]
pub(crate) struct SegmentTable {
    slots: Vec<Option<Segment>>,
}

impl SegmentTable {
    pub(crate) fn get(&self, slot: SegmentSlot) -> Option<&Segment> {
        self.slots.get(usize::from(slot))?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, slot: SegmentSlot) -> Option<&mut Segment> {
        self.slots.get_mut(usize::from(slot))?.as_mut()
    }

    /// Puts a segment into the first free slot.
    ///
    /// # Errors
    /// If there are more segments than slots.
    pub(crate) fn insert(&mut self, segment: Segment) -> Result<SegmentSlot, Error> {
        let position = match self.slots.iter().position(Option::is_none) {
            Some(position) => position,
            None => {
                self.slots.push(None);
                self.slots.len() - 1
            }
        };
        let slot = SegmentSlot::try_from(position).map_err(|_| Error::TooLarge {
            what: "a number of segments",
            size: position,
            max: usize::from(SegmentSlot::MAX),
        })?;
        self.slots[position] = Some(segment);
        Ok(slot)
    }

    /// Removes a segment from the table, which frees its slot.
    pub(crate) fn remove(&mut self, slot: SegmentSlot) -> Option<Segment> {
        self.slots.get_mut(usize::from(slot)).and_then(Option::take)
    }

    pub(crate) fn clear(&mut self) {
        self.slots.clear();
    }

    /// Iterates over all segments, by slot.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Segment> {
        self.slots.iter().flatten()
    }

    /// Iterates over all segments with their slots.
    pub(crate) fn iter_slots(&self) -> impl Iterator<Item = (SegmentSlot, &Segment)> {
        let slots = self.slots.iter().enumerate();
        slots.filter_map(|(slot, segment)| Some((slot as SegmentSlot, segment.as_ref()?)))
    }
}
