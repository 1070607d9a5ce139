//! Frame layouts: the versions of the wire protocol between the processes of a deployment.
//!
//! Every frame contains, in the highest byte of its length, the layout that its reader must support
//! and, after its value, the newest layout that its sender supports. Programs of different releases
//! can therefore work together during a rolling upgrade: a member learns which layout its peers
//! support and sends them only frames that they can decode.

/// The newest layout that this program supports.
pub const LAYOUT: u8 = 5;

/// The layout of releases that did not number layouts yet; their frames contain no layout.
pub const FIRST_LAYOUT: u8 = 1;

/// The first layout that supports large messages in chunks, and the commands `ForgetDeparted` and
/// `PrimaryReturned`.
pub const CHUNKS_LAYOUT: u8 = 2;

/// The first layout that supports planned handovers of a service, see
/// [`ToPooler::HandOver`](crate::net::rpc::pooler_messages::ToPooler::HandOver).
pub const HANDOVER_LAYOUT: u8 = 3;

/// The first layout in which poolers confirm commits at listed replicas, see
/// [`ToPooler::SyncReplicas`](crate::net::rpc::pooler_messages::ToPooler::SyncReplicas).
pub const SYNC_REPLICAS_LAYOUT: u8 = 4;

/// The first layout in which nodes know tenants, see
/// [`ToPooler::TenantRouteTable`](crate::net::rpc::pooler_messages::ToPooler::TenantRouteTable).
pub const TENANTS_LAYOUT: u8 = 5;

/// The required layout of a frame that every release can decode. The first layout wrote a zero
/// here.
pub(super) const NO_REQUIRED_LAYOUT: u8 = 0;

/// The lowest first byte of a structure encoded by `rmp-serde`. A lower byte is a layout number.
pub(super) const MIN_STRUCTURE_BYTE: u8 = 0x80;
